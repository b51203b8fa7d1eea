package org.borageproxy.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.control.Submission;
import org.borageproxy.result.ResultCode;
import org.borageproxy.spread.StateReader;
import org.borageproxy.tree.EffectiveTree;
import org.borageproxy.tree.TreeDifference;
import org.borageproxy.tree.TreeError;
import org.borageproxy.tree.TreeParseResult;
import org.borageproxy.wire.proto.ControlProtocol.ApplyTree;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.ReadRevisions;
import org.borageproxy.wire.proto.ControlProtocol.ReadTree;
import org.borageproxy.wire.proto.ControlProtocol.Rollback;
import org.borageproxy.wire.proto.ControlProtocol.TreeState;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;

/** The routes by which operators change and read the settings tree. Stateless and thread safe. */
final class TreeRoutes {

    /** The name recorded for operators who do not state one. */
    private static final String DEFAULT_OPERATOR = "operator";

    /** Submits changes to the control group. */
    private final ChangeSubmitter submitter;

    /** Reads the control group's state. */
    private final StateReader reader;

    /** Checks trees against the fleet. */
    private final TreeCheck treeCheck;

    /**
     * Creates the routes.
     *
     * @param submitter submits changes to the control group
     * @param reader reads the control group's state
     * @param check checks trees against the fleet
     */
    TreeRoutes(ChangeSubmitter submitter, StateReader reader, TreeCheck check) {
        this.submitter = submitter;
        this.reader = reader;
        this.treeCheck = check;
    }

    /**
     * Returns the routes.
     *
     * @return the routes
     */
    List<OperatorRoute> routes() {
        return List.of(
                new OperatorRoute("POST", "/v1/tree", this::apply),
                new OperatorRoute("GET", "/v1/tree", this::getDocument),
                new OperatorRoute("GET", "/v1/effective", this::listEffectiveValues),
                new OperatorRoute("GET", "/v1/diff", this::compare),
                new OperatorRoute("GET", "/v1/revisions", this::listRevisions),
                new OperatorRoute("POST", "/v1/rollback", this::rollback));
    }

    /**
     * Validates a document and submits it as the newest revision, unless only the validation is requested.
     *
     * @param request the request
     * @return the response
     */
    private CompletionStage<OperatorResponse> apply(OperatorRequest request) {
        Optional<String> document = request.textField("document");
        Optional<String> identity = request.textField("change_identity");
        Optional<Long> base = request.numberField("base_revision");
        boolean isCheckOnly = Boolean.TRUE.equals(request.body().getValue("check_only"));
        if (document.isEmpty() || !isCheckOnly && (identity.isEmpty() || base.isEmpty())) {
            return malformedRequest("document, change_identity and base_revision are needed");
        }
        List<TreeError> errors = errorsOf(document.get());
        if (isCheckOnly) {
            return completed(
                    errors.isEmpty() ? OperatorResponse.ok(new JsonObject().put("valid", true)) : invalidTree(errors));
        }
        ApplyTree.Builder change = ApplyTree.newBuilder()
                .setChangeIdentity(identity.get())
                .setBaseRevision(base.get())
                .setDocument(document.get())
                .setOperator(request.textField("operator").orElse(DEFAULT_OPERATOR));
        if (!errors.isEmpty()) {
            return rejectUnlessAccepted(change, errors);
        }
        long waitMillis = request.numberField("wait_millis").orElse(0L);
        return submitter.submitAndWait(Command.newBuilder().setApplyTree(change), waitMillis);
    }

    /**
     * Rejects a change with errors, unless an earlier copy of it was accepted. The fleet may have changed since, and a
     * repetition must get the reply to the first copy.
     *
     * @param change the change
     * @param errors the errors, not empty
     * @return the response
     */
    private CompletionStage<OperatorResponse> rejectUnlessAccepted(ApplyTree.Builder change, List<TreeError> errors) {
        Command.Builder query = Command.newBuilder().setApplyTree(change.setOnlyKnown(true));
        return submitter.submit(query).thenApply(submission -> {
            boolean isNew = submission instanceof Submission.Replied replied
                    && replied.reply().hasMissing();
            return isNew ? invalidTree(errors) : ChangeSubmitter.responseTo(submission);
        });
    }

    /**
     * Submits an earlier document as the newest revision. It is not checked against the fleet.
     *
     * @param request the request
     * @return the response
     */
    private CompletionStage<OperatorResponse> rollback(OperatorRequest request) {
        Optional<String> identity = request.textField("change_identity");
        Optional<Long> base = request.numberField("base_revision");
        Optional<Long> to = request.numberField("to_revision");
        if (identity.isEmpty() || base.isEmpty() || to.isEmpty()) {
            return malformedRequest("change_identity, base_revision and to_revision are needed");
        }
        Rollback.Builder change = Rollback.newBuilder()
                .setChangeIdentity(identity.get())
                .setBaseRevision(base.get())
                .setToRevision(to.get())
                .setOperator(request.textField("operator").orElse(DEFAULT_OPERATOR));
        long waitMillis = request.numberField("wait_millis").orElse(0L);
        return submitter.submitAndWait(Command.newBuilder().setRollback(change), waitMillis);
    }

    /**
     * Returns a document, the newest one unless a revision is requested.
     *
     * @param request the request
     * @return the response
     */
    private CompletionStage<OperatorResponse> getDocument(OperatorRequest request) {
        long revision = request.queryNumberParameter("revision").orElse(0L);
        return readTree(revision, answer -> {
            JsonObject body = metadataOf(answer.getTree())
                    .put("document", answer.getTree().getDocument())
                    .put("current_revision", answer.getRevision());
            return OperatorResponse.ok(body);
        });
    }

    /**
     * Lists the effective values of a document with their origins.
     *
     * @param request the request
     * @return the response
     */
    private CompletionStage<OperatorResponse> listEffectiveValues(OperatorRequest request) {
        return readTree(request.queryNumberParameter("revision").orElse(0L), answer -> {
            JsonArray values = new JsonArray();
            treeOf(answer.getTree())
                    .values()
                    .forEach(value -> values.add(new JsonObject()
                            .put("path", value.path())
                            .put("key", value.key())
                            .put("value", value.value())
                            .put("origin", value.origin())));
            return OperatorResponse.ok(metadataOf(answer.getTree()).put("values", values));
        });
    }

    /**
     * Compares the effective values of two documents. Revision zero stands for the empty tree as the earlier document
     * and for the newest document as the later one.
     *
     * @param request the request
     * @return the response
     */
    private CompletionStage<OperatorResponse> compare(OperatorRequest request) {
        Optional<Long> from = request.queryNumberParameter("from");
        if (from.isEmpty()) {
            return malformedRequest("from is needed");
        }
        long to = request.queryNumberParameter("to").orElse(0L);
        return read(readTreeRequest(from.get()))
                .thenCompose(before -> readTree(to, after -> {
                    boolean isKnown = before.isPresent() && before.get().hasTree();
                    if (!isKnown && from.get() > 0) {
                        return OperatorResponse.error(ResultCode.UNKNOWN_REVISION);
                    }
                    EffectiveTree earlier = from.get() == 0
                            ? EffectiveTree.EMPTY
                            : treeOf(before.get().getTree());
                    JsonArray differences = new JsonArray();
                    TreeDifference.between(earlier, treeOf(after.getTree()))
                            .forEach(difference -> differences.add(new JsonObject()
                                    .put("path", difference.path())
                                    .put("key", difference.key())
                                    .put("before", difference.before())
                                    .put("after", difference.after())));
                    return OperatorResponse.ok(new JsonObject()
                            .put("from", from.get())
                            .put("to", after.getTree().getRevision())
                            .put("differences", differences));
                }));
    }

    /**
     * Lists the revisions whose documents the control group retains.
     *
     * @param request the request
     * @return the response
     */
    private CompletionStage<OperatorResponse> listRevisions(OperatorRequest request) {
        WatchRequest query = WatchRequest.newBuilder()
                .setReadRevisions(ReadRevisions.getDefaultInstance())
                .build();
        return read(query).thenApply(answer -> {
            if (answer.isEmpty()) {
                return OperatorResponse.error(ResultCode.NOT_LEADER);
            }
            JsonArray revisions = new JsonArray();
            answer.get().getRevisionsList().forEach(tree -> revisions.add(metadataOf(tree)));
            return OperatorResponse.ok(new JsonObject()
                    .put("current_revision", answer.get().getRevision())
                    .put("revisions", revisions));
        });
    }

    /**
     * Reads a document and renders a response from it.
     *
     * @param revision the document's revision, or zero for the newest
     * @param render renders the response; for revision zero it is called even if there is no document yet
     * @return the response
     */
    private CompletionStage<OperatorResponse> readTree(long revision, Function<WatchAnswer, OperatorResponse> render) {
        return read(readTreeRequest(revision)).thenApply(answer -> {
            if (answer.isEmpty()) {
                return OperatorResponse.error(ResultCode.NOT_LEADER);
            }
            if (!answer.get().hasTree() && revision > 0) {
                return OperatorResponse.error(ResultCode.UNKNOWN_REVISION);
            }
            return render.apply(answer.get());
        });
    }

    /**
     * Reads the control group's state.
     *
     * @param request the request
     * @return the answer of a control VM, or empty if none can confirm that its answer is current
     */
    private CompletionStage<Optional<WatchAnswer>> read(WatchRequest request) {
        return reader.read(request);
    }

    /**
     * Creates the request for a document.
     *
     * @param revision the document's revision, or zero for the newest
     * @return the request
     */
    private static WatchRequest readTreeRequest(long revision) {
        return WatchRequest.newBuilder()
                .setReadTree(ReadTree.newBuilder().setRevision(revision))
                .build();
    }

    /**
     * Validates a document and, if it is valid, checks its tree against the fleet.
     *
     * @param document the document in TOML
     * @return the errors, empty if there are none
     */
    private List<TreeError> errorsOf(String document) {
        TreeParseResult reading = TreeParseResult.parse(document);
        if (reading instanceof TreeParseResult.Invalid invalid) {
            return invalid.errors();
        }
        return new ArrayList<>(treeCheck.check(((TreeParseResult.Valid) reading).tree()));
    }

    /**
     * Parses an accepted document.
     *
     * @param tree the document
     * @return the tree, or the empty tree if this release does not accept the document
     */
    private static EffectiveTree treeOf(TreeState tree) {
        return TreeParseResult.parse(tree.getDocument()) instanceof TreeParseResult.Valid valid
                ? valid.tree()
                : EffectiveTree.EMPTY;
    }

    /**
     * Returns the metadata of a document.
     *
     * @param tree the document
     * @return the metadata as JSON, without the text
     */
    private static JsonObject metadataOf(TreeState tree) {
        return new JsonObject()
                .put("revision", tree.getRevision())
                .put("change_identity", tree.getChangeIdentity())
                .put("operator", tree.getOperator())
                .put("accepted_at_millis", tree.getAcceptedAtMillis());
    }

    /**
     * Returns the response to a document with errors.
     *
     * @param errors the errors
     * @return the response
     */
    private static OperatorResponse invalidTree(List<TreeError> errors) {
        JsonArray list = new JsonArray();
        errors.forEach(error -> list.add(new JsonObject()
                .put("path", error.path())
                .put("line", error.line())
                .put("message", error.message())));
        return OperatorResponse.error(ResultCode.CHANGE_INVALID).putField("errors", list);
    }

    /**
     * Returns the response to a request with missing or invalid fields.
     *
     * @param message the description shown to the operator
     * @return the response
     */
    private static CompletionStage<OperatorResponse> malformedRequest(String message) {
        return completed(OperatorResponse.error(ResultCode.MALFORMED_REQUEST, message));
    }

    /**
     * Returns a completed stage.
     *
     * @param response the response
     * @return the response
     */
    private static CompletionStage<OperatorResponse> completed(OperatorResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
