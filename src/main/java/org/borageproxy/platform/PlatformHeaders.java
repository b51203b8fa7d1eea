package org.borageproxy.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.MultiMap;
import org.borageproxy.forward.CallerProtocol;
import org.borageproxy.forward.DispatchMetadata;
import org.borageproxy.forward.HopByHopHeaders;
import org.borageproxy.forward.RequestMetadata;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.EngineWork;

/** The heads of callers' requests and backend servers' answers. Immutable and thread safe. */
final class PlatformHeaders implements CallerProtocol {

    private static final String REQUEST_IDENTITY = "X-Request-Id";
    private static final String CALLER_KEY = "X-Credential";
    private static final String WAIT_MILLIS = "X-Deadline-Ms";
    private static final String MODEL = "X-Model";
    /** Two numbers: prompt tokens and the most output tokens. */
    private static final String TOKENS = "X-Token-Count";

    private static final String PROMPT_PARTS = "X-Prompt-Prefix";
    private static final String LAST_EVENT = "Last-Event-Id";
    private static final String WORKSPACE = "X-Tenant";
    private static final String EXPECTED_SERVER = "X-Expect-Replica";
    private static final String URGENCY = "X-Request-Urgency";
    private static final String NOT_RUN = "X-Not-Executed";
    private static final String SERVER = "X-Replica-Id";
    private static final int MISDIRECTED = 421;
    /** Headers that only borageproxy may set, and the caller's key. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "x-credential",
            "x-deadline-ms",
            "x-tenant",
            "x-expect-replica",
            "x-expect-version",
            "x-request-urgency",
            "x-pin-ms",
            "x-hold",
            "x-kv-backup",
            "kv-from",
            "kv-fetch",
            "last-event-id",
            "proxy-authorization",
            "content-length",
            "expect");

    @Override
    public RequestMetadata parseRequest(MultiMap headers) {
        return new RequestMetadata(
                Optional.ofNullable(headers.get(REQUEST_IDENTITY)).orElse(""),
                Optional.ofNullable(headers.get(CALLER_KEY)).map(String::trim),
                number(headers.get(WAIT_MILLIS)),
                work(headers),
                Optional.ofNullable(headers.get(LAST_EVENT)));
    }

    private static Optional<EngineWork> work(MultiMap headers) {
        String model = headers.get(MODEL);
        if (model == null) {
            return Optional.empty();
        }
        int slash = model.indexOf('/');
        String tokens = Optional.ofNullable(headers.get(TOKENS)).orElse("");
        int comma = tokens.indexOf(',');
        int prompt = comma < 0 ? 0 : small(tokens.substring(0, comma));
        int output = comma < 0 ? 0 : small(tokens.substring(comma + 1));
        return Optional.of(new EngineWork(
                slash < 0 ? model : model.substring(0, slash),
                slash < 0 ? "" : model.substring(slash + 1),
                prompt,
                output,
                parts(Optional.ofNullable(headers.get(PROMPT_PARTS)).orElse(""))));
    }

    private static List<EngineWork.PromptPart> parts(String text) {
        List<EngineWork.PromptPart> parts = new ArrayList<>();
        for (String part : text.split(",")) {
            int colon = part.indexOf(':');
            if (colon > 0) {
                parts.add(new EngineWork.PromptPart(part.substring(0, colon).trim(), small(part.substring(colon + 1))));
            }
        }
        return parts;
    }

    private static int small(String text) {
        return (int) Math.min(Integer.MAX_VALUE / 4, number(text).orElse(0));
    }

    private static OptionalLong number(String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            double value = Double.parseDouble(text.trim());
            return value >= 0 ? OptionalLong.of((long) value) : OptionalLong.empty();
        } catch (NumberFormatException exception) {
            // A malformed field counts as absent, as the protocol's interface says.
            return OptionalLong.empty();
        }
    }

    @Override
    public HttpHeaders forwardedHeaders(MultiMap headers, DispatchMetadata dispatch) {
        Set<String> ofConnection =
                HopByHopHeaders.connectionOptions(headers.getAll(HttpHeaderNames.CONNECTION.toString()));
        HttpHeaders forwarded = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(name) && !HopByHopHeaders.isHopByHop(name, ofConnection)) {
                forwarded.add(header.getKey(), header.getValue());
            }
        }
        forwarded.set(WAIT_MILLIS, Long.toString(dispatch.remainingMillis()));
        forwarded.set(EXPECTED_SERVER, dispatch.server().value());
        dispatch.workspace().ifPresent(workspace -> forwarded.set(WORKSPACE, workspace));
        dispatch.lastEventIdentity().ifPresent(event -> forwarded.set(LAST_EVENT, event));
        dispatch.urgency().ifPresent(urgency -> forwarded.set(URGENCY, Integer.toString(urgency)));
        return forwarded;
    }

    @Override
    public ResponseMetadata parseResponse(int status, HttpHeaders headers) {
        String identity = headers.get(REQUEST_IDENTITY, "");
        boolean isMisdirected = status == MISDIRECTED;
        Optional<BackendServerName> answering = Optional.ofNullable(headers.get(SERVER))
                .filter(name -> isMisdirected && !name.isBlank())
                .map(BackendServerName::new);
        return new ResponseMetadata(identity, headers.contains(NOT_RUN) || isMisdirected, answering);
    }
}
