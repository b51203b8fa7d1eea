package org.borageproxy.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.MultiMap;
import org.borageproxy.answer.AnswerOrigin;
import org.borageproxy.forward.CallerProtocol;
import org.borageproxy.forward.DispatchMetadata;
import org.borageproxy.forward.HopByHopHeaders;
import org.borageproxy.forward.RequestMetadata;
import org.borageproxy.liveness.IdentityCheck;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerStatement;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Header fields of callers' requests and backend servers' responses. Immutable and thread safe. */
final class PlatformHeaders implements CallerProtocol {

    private static final String REQUEST_IDENTITY_HEADER = "X-Request-Id";
    private static final String API_KEY_HEADER = "X-Credential";
    private static final String TIMEOUT_HEADER = "X-Deadline-Ms";
    private static final String MODEL_HEADER = "X-Model";
    /** Number of prompt tokens and maximum number of output tokens, separated by a comma. */
    private static final String TOKEN_COUNTS_HEADER = "X-Token-Count";

    private static final String PROMPT_PARTS_HEADER = "X-Prompt-Prefix";
    private static final String LAST_EVENT_HEADER = "Last-Event-Id";
    private static final String RESUMED_REQUEST_HEADER = "Resumes";
    private static final String WORKSPACE_HEADER = "X-Tenant";
    private static final String EXPECTED_SERVER_HEADER = "X-Expect-Replica";
    private static final String URGENCY_HEADER = "X-Request-Urgency";
    private static final String NOT_RUN_HEADER = "X-Not-Executed";
    private static final String SIGNATURE_HEADER = "X-Server-Signature";
    private static final String RESPONDING_SERVER_HEADER = "X-Replica-Id";
    /** The requests per second that the answering server takes from all VMs together, a decimal number. */
    static final String REQUEST_LIMIT_HEADER = "Server-Limit";
    /** The number of rejections within a second that the answering server survives. */
    static final String REJECTION_LIMIT_HEADER = "Server-Brittle";

    /** The time until the answering server is warm, in milliseconds. */
    static final String COLD_HEADER = "X-Cold-Ms";

    /** Stated as one by a server that leaves, in all its answers. */
    static final String LEAVING_HEADER = "Server-Leaving";

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformHeaders.class);
    private static final int MISDIRECTED_STATUS = 421;
    private static final int UNAVAILABLE_STATUS = 503;
    /** Longest time that is granted to a server, which may state any. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofMinutes(10);
    /** Assumed for a time that cannot be read. */
    private static final Duration UNREADABLE_RETRY_AFTER = Duration.ofSeconds(1);

    private static final double MILLIS_PER_SECOND = 1e3;
    /** Headers that are not copied from the caller: its API key, and headers that only the proxy may set. */
    private static final Set<String> NON_FORWARDED_HEADERS = Set.of(
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
                Optional.ofNullable(headers.get(REQUEST_IDENTITY_HEADER)).orElse(""),
                Optional.ofNullable(headers.get(API_KEY_HEADER)).map(String::trim),
                parseNonNegative(headers.get(TIMEOUT_HEADER)),
                parseWork(headers),
                Optional.ofNullable(headers.get(LAST_EVENT_HEADER)),
                Optional.ofNullable(headers.get(RESUMED_REQUEST_HEADER)).map(String::trim));
    }

    private static Optional<EngineWork> parseWork(MultiMap headers) {
        String model = headers.get(MODEL_HEADER);
        if (model == null) {
            return Optional.empty();
        }
        int slash = model.indexOf('/');
        String tokens = Optional.ofNullable(headers.get(TOKEN_COUNTS_HEADER)).orElse("");
        int comma = tokens.indexOf(',');
        int prompt = comma < 0 ? 0 : parseTokenCount(tokens.substring(0, comma));
        int output = comma < 0 ? 0 : parseTokenCount(tokens.substring(comma + 1));
        return Optional.of(new EngineWork(
                slash < 0 ? model : model.substring(0, slash),
                slash < 0 ? "" : model.substring(slash + 1),
                prompt,
                output,
                parsePromptParts(
                        Optional.ofNullable(headers.get(PROMPT_PARTS_HEADER)).orElse(""))));
    }

    private static List<EngineWork.PromptPart> parsePromptParts(String text) {
        List<EngineWork.PromptPart> parts = new ArrayList<>();
        for (String part : text.split(",")) {
            int colon = part.indexOf(':');
            if (colon > 0) {
                parts.add(new EngineWork.PromptPart(
                        part.substring(0, colon).trim(), parseTokenCount(part.substring(colon + 1))));
            }
        }
        return parts;
    }

    /**
     * Returns a token count, zero if it is malformed. Limited to a quarter of the range of integers, within which the
     * sum of prompt and output tokens does not overflow.
     */
    private static int parseTokenCount(String text) {
        return (int) Math.min(Integer.MAX_VALUE / 4, parseNonNegative(text).orElse(0));
    }

    private static OptionalLong parseNonNegative(String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            double value = Double.parseDouble(text.trim());
            return value >= 0 ? OptionalLong.of((long) value) : OptionalLong.empty();
        } catch (NumberFormatException exception) {
            // The contract of CallerProtocol treats malformed fields as absent.
            return OptionalLong.empty();
        }
    }

    @Override
    public HttpHeaders forwardedHeaders(MultiMap headers, DispatchMetadata dispatch) {
        Set<String> connectionOptions =
                HopByHopHeaders.connectionOptions(headers.getAll(HttpHeaderNames.CONNECTION.toString()));
        HttpHeaders forwarded = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!NON_FORWARDED_HEADERS.contains(name) && !HopByHopHeaders.isHopByHop(name, connectionOptions)) {
                forwarded.add(header.getKey(), header.getValue());
            }
        }
        forwarded.set(TIMEOUT_HEADER, Long.toString(dispatch.remainingMillis()));
        forwarded.set(EXPECTED_SERVER_HEADER, dispatch.server().value());
        dispatch.workspace().ifPresent(workspace -> forwarded.set(WORKSPACE_HEADER, workspace));
        dispatch.lastEventIdentity().ifPresent(event -> forwarded.set(LAST_EVENT_HEADER, event));
        dispatch.urgency().ifPresent(urgency -> forwarded.set(URGENCY_HEADER, Integer.toString(urgency)));
        return forwarded;
    }

    @Override
    public ResponseMetadata parseResponse(int status, HttpHeaders headers) {
        boolean isMisdirected = status == MISDIRECTED_STATUS;
        Optional<BackendServerName> respondingServer = Optional.ofNullable(headers.get(RESPONDING_SERVER_HEADER))
                .filter(name -> isMisdirected && !name.isBlank())
                .map(BackendServerName::new);
        return new ResponseMetadata(
                new AnswerOrigin(
                        headers.getAll(REQUEST_IDENTITY_HEADER),
                        headers.getAll(SIGNATURE_HEADER),
                        headers.contains(HttpHeaderNames.CONTENT_ENCODING)),
                headers.contains(NOT_RUN_HEADER) || isMisdirected,
                respondingServer,
                parseStatement(
                        headers.getAll(REQUEST_LIMIT_HEADER),
                        headers.getAll(REJECTION_LIMIT_HEADER),
                        headers.getAll(COLD_HEADER)),
                parseRetryAfter(status, headers.getAll(HttpHeaderNames.RETRY_AFTER)),
                !isMisdirected && parseLeaving(headers.getAll(LEAVING_HEADER)));
    }

    @Override
    public IdentityCheck identityCheck(BackendServerName server, String path) {
        DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(EXPECTED_SERVER_HEADER, server.value()).set(HttpHeaderNames.HOST, server.value());
        return new IdentityCheck(
                request,
                response -> name(response).equals(server.value()),
                PlatformHeaders::isRefusedByExpectedServer,
                response -> parseRetryAfter(
                        response.status().code(), response.headers().getAll(HttpHeaderNames.RETRY_AFTER)));
    }

    /** Returns the name in an answer to a request without an identity; a copy of another answer states one. */
    private static String name(HttpResponse response) {
        boolean isOfOtherRequest = response.headers().contains(REQUEST_IDENTITY_HEADER);
        return isOfOtherRequest ? "" : response.headers().get(RESPONDING_SERVER_HEADER, "");
    }

    /** Another server than the expected one misdirects the request. */
    private static boolean isRefusedByExpectedServer(HttpResponse response) {
        boolean isRefused = response.headers().contains(NOT_RUN_HEADER)
                || parseLeaving(response.headers().getAll(LEAVING_HEADER));
        return isRefused
                && response.status().code() != MISDIRECTED_STATUS
                && name(response).isBlank();
    }

    /**
     * Parses how long a backend server wants no further requests from the VM that it answered. Of a repeated field, the
     * longest time counts.
     *
     * @param status the status of the answer; only 503 states such a time
     * @param values the values of the field, in seconds
     * @return the time, bounded; empty if the answer states none
     */
    static Optional<Duration> parseRetryAfter(int status, List<String> values) {
        return status == UNAVAILABLE_STATUS
                ? values.stream()
                        .map(PlatformHeaders::parseSeconds)
                        .filter(time -> !time.isZero())
                        .max(Duration::compareTo)
                : Optional.empty();
    }

    /**
     * Parses whether a backend server leaves.
     *
     * @param values the values of the field
     * @return {@code true} if any of them says so
     */
    static boolean parseLeaving(List<String> values) {
        boolean isLeaving = values.stream().anyMatch(value -> value.trim().equals("1"));
        if (!isLeaving && !values.isEmpty()) {
            LOGGER.info("event=server-leaving-malformed values={}", values);
        }
        return isLeaving;
    }

    private static Duration parseSeconds(String text) {
        double seconds;
        try {
            seconds = Double.parseDouble(text.trim());
        } catch (NumberFormatException exception) {
            seconds = Double.NaN;
        }
        if (Double.isNaN(seconds) || seconds < 0) {
            LOGGER.info("event=retry-after-malformed value=\"{}\"", text);
            return UNREADABLE_RETRY_AFTER;
        }
        if (seconds > MAX_RETRY_AFTER.toSeconds()) {
            LOGGER.info("event=retry-after-bounded value=\"{}\"", text);
            return MAX_RETRY_AFTER;
        }
        return Duration.ofMillis((long) Math.ceil(seconds * MILLIS_PER_SECOND));
    }

    /**
     * Parses what a backend server states about its capacity. Of a repeated field, the lowest value counts, and the
     * longest time until it is warm.
     *
     * @param requestLimits the values of the field with the requests per second
     * @param rejectionLimits the values of the field with the tolerated rejections per second
     * @param coldTimes the values of the field with the time until the server is warm, in milliseconds
     * @return empty if a value is malformed
     */
    static Optional<ServerStatement> parseStatement(
            List<String> requestLimits, List<String> rejectionLimits, List<String> coldTimes) {
        try {
            return Optional.of(new ServerStatement(
                    requestLimits.stream().mapToDouble(Double::parseDouble).min(),
                    rejectionLimits.stream()
                            .mapToInt(text -> Integer.parseInt(text.trim()))
                            .min(),
                    coldTimes.stream()
                            .mapToLong(text -> (long) Double.parseDouble(text.trim()))
                            .map(millis -> Math.max(0, Math.min(HeartbeatDocument.MAX_COLD_MILLIS, millis)))
                            .max()));
        } catch (IllegalArgumentException exception) {
            LOGGER.info(
                    "event=server-statement-malformed request_limits={} rejection_limits={} cold_times={}",
                    requestLimits,
                    rejectionLimits,
                    coldTimes);
            return Optional.empty();
        }
    }
}
