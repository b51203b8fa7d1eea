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
import org.borageproxy.tree.TreeReading;
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

    /** The name of operators who do not give theirs. */
    private static final String UNNAMED = "operator";

    /** Submits changes. */
    private final Changes changes;

    /** Reads the state. */
    private final StateReader reader;

    /** Checks trees against the fleet. */
    private final TreeCheck check;

    /**
     * Creates the routes.
     *
     * @param changes submits changes
     * @param reader reads the state
     * @param check checks trees against the fleet
     */
    TreeRoutes(Changes changes, StateReader reader, TreeCheck check) {
        this.changes = changes;
        this.reader = reader;
        this.check = check;
    }

    /**
     * Returns the routes.
     *
     * @return the routes
     */
    List<OperatorRoute> routes() {
        return List.of(
                new OperatorRoute("POST", "/v1/tree", this::apply),
                new OperatorRoute("GET", "/v1/tree", this::get),
                new OperatorRoute("GET", "/v1/effective", this::effective),
                new OperatorRoute("GET", "/v1/diff", this::difference),
                new OperatorRoute("GET", "/v1/revisions", this::revisions),
                new OperatorRoute("POST", "/v1/rollback", this::rollback));
    }

    /**
     * Checks a document and makes it the newest revision.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> apply(OperatorRequest request) {
        Optional<String> document = request.text("document");
        Optional<String> identity = request.text("change_identity");
        Optional<Long> base = request.number("base_revision");
        boolean isCheckOnly = Boolean.TRUE.equals(request.body().getValue("check_only"));
        if (document.isEmpty() || !isCheckOnly && (identity.isEmpty() || base.isEmpty())) {
            return malformed("document, change_identity and base_revision are needed");
        }
        List<TreeError> errors = errorsOf(document.get());
        if (isCheckOnly) {
            return done(errors.isEmpty() ? OperatorAnswer.of(new JsonObject().put("valid", true)) : invalid(errors));
        }
        ApplyTree.Builder change = ApplyTree.newBuilder()
                .setChangeIdentity(identity.get())
                .setBaseRevision(base.get())
                .setDocument(document.get())
                .setOperator(request.text("operator").orElse(UNNAMED));
        if (!errors.isEmpty()) {
            return refuse(change, errors);
        }
        long waitMillis = request.number("wait_millis").orElse(0L);
        return changes.submitAndWait(Command.newBuilder().setApplyTree(change), waitMillis);
    }

    /**
     * Refuses a change with errors, unless an earlier copy of it was accepted.
     *
     * @param change the change
     * @param errors what is wrong
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> refuse(ApplyTree.Builder change, List<TreeError> errors) {
        Command.Builder question = Command.newBuilder().setApplyTree(change.setOnlyKnown(true));
        return changes.submit(question).thenApply(submission -> {
            boolean isNew = submission instanceof Submission.Replied replied
                    && replied.reply().hasMissing();
            return isNew ? invalid(errors) : Changes.answerTo(submission);
        });
    }

    /**
     * Makes an earlier document the newest revision.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> rollback(OperatorRequest request) {
        Optional<String> identity = request.text("change_identity");
        Optional<Long> base = request.number("base_revision");
        Optional<Long> to = request.number("to_revision");
        if (identity.isEmpty() || base.isEmpty() || to.isEmpty()) {
            return malformed("change_identity, base_revision and to_revision are needed");
        }
        Rollback.Builder change = Rollback.newBuilder()
                .setChangeIdentity(identity.get())
                .setBaseRevision(base.get())
                .setToRevision(to.get())
                .setOperator(request.text("operator").orElse(UNNAMED));
        long waitMillis = request.number("wait_millis").orElse(0L);
        return changes.submitAndWait(Command.newBuilder().setRollback(change), waitMillis);
    }

    /**
     * Returns a document.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> get(OperatorRequest request) {
        long revision = request.queryNumber("revision").orElse(0L);
        return readTree(revision, answer -> {
            JsonObject body = describe(answer.getTree())
                    .put("document", answer.getTree().getDocument())
                    .put("current_revision", answer.getRevision());
            return OperatorAnswer.of(body);
        });
    }

    /**
     * Returns each effective value with its origin.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> effective(OperatorRequest request) {
        return readTree(request.queryNumber("revision").orElse(0L), answer -> {
            JsonArray values = new JsonArray();
            treeOf(answer.getTree())
                    .values()
                    .forEach(value -> values.add(new JsonObject()
                            .put("path", value.path())
                            .put("key", value.key())
                            .put("value", value.value())
                            .put("origin", value.origin())));
            return OperatorAnswer.of(describe(answer.getTree()).put("values", values));
        });
    }

    /**
     * Compares two documents.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> difference(OperatorRequest request) {
        Optional<Long> from = request.queryNumber("from");
        if (from.isEmpty()) {
            return malformed("from is needed");
        }
        long to = request.queryNumber("to").orElse(0L);
        return read(treeRequest(from.get()))
                .thenCompose(before -> readTree(to, after -> {
                    boolean isKnown = before.isPresent() && before.get().hasTree();
                    if (!isKnown && from.get() > 0) {
                        return OperatorAnswer.failed(ResultCode.UNKNOWN_REVISION);
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
                    return OperatorAnswer.of(new JsonObject()
                            .put("from", from.get())
                            .put("to", after.getTree().getRevision())
                            .put("differences", differences));
                }));
    }

    /**
     * Lists the documents that are kept.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> revisions(OperatorRequest request) {
        WatchRequest question = WatchRequest.newBuilder()
                .setReadRevisions(ReadRevisions.getDefaultInstance())
                .build();
        return read(question).thenApply(answer -> {
            if (answer.isEmpty()) {
                return OperatorAnswer.failed(ResultCode.NOT_LEADER);
            }
            JsonArray revisions = new JsonArray();
            answer.get().getRevisionsList().forEach(tree -> revisions.add(describe(tree)));
            return OperatorAnswer.of(new JsonObject()
                    .put("current_revision", answer.get().getRevision())
                    .put("revisions", revisions));
        });
    }

    /**
     * Reads a document and answers from it.
     *
     * @param revision the document's revision, or zero for the newest
     * @param render makes the answer
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> readTree(long revision, Function<WatchAnswer, OperatorAnswer> render) {
        return read(treeRequest(revision)).thenApply(answer -> {
            if (answer.isEmpty()) {
                return OperatorAnswer.failed(ResultCode.NOT_LEADER);
            }
            if (!answer.get().hasTree() && revision > 0) {
                return OperatorAnswer.failed(ResultCode.UNKNOWN_REVISION);
            }
            return render.apply(answer.get());
        });
    }

    /**
     * Reads the state.
     *
     * @param request the request
     * @return the answer of a control VM, or empty
     */
    private CompletionStage<Optional<WatchAnswer>> read(WatchRequest request) {
        return reader.read(request);
    }

    /**
     * Returns the request for a document.
     *
     * @param revision the document's revision, or zero for the newest
     * @return the request
     */
    private static WatchRequest treeRequest(long revision) {
        return WatchRequest.newBuilder()
                .setReadTree(ReadTree.newBuilder().setRevision(revision))
                .build();
    }

    /**
     * Lists all errors of a document.
     *
     * @param document the document
     * @return the errors
     */
    private List<TreeError> errorsOf(String document) {
        TreeReading reading = TreeReading.of(document);
        if (reading instanceof TreeReading.Invalid invalid) {
            return invalid.errors();
        }
        return new ArrayList<>(check.check(((TreeReading.Valid) reading).tree()));
    }

    /**
     * Returns the tree of an accepted document.
     *
     * @param tree the document
     * @return the tree, empty if this release cannot read the document
     */
    private static EffectiveTree treeOf(TreeState tree) {
        return TreeReading.of(tree.getDocument()) instanceof TreeReading.Valid valid
                ? valid.tree()
                : EffectiveTree.EMPTY;
    }

    /**
     * Describes a document without its text.
     *
     * @param tree the document
     * @return the description
     */
    private static JsonObject describe(TreeState tree) {
        return new JsonObject()
                .put("revision", tree.getRevision())
                .put("change_identity", tree.getChangeIdentity())
                .put("operator", tree.getOperator())
                .put("accepted_at_millis", tree.getAcceptedAtMillis());
    }

    /**
     * Returns the answer to a document with errors.
     *
     * @param errors the errors
     * @return the answer
     */
    private static OperatorAnswer invalid(List<TreeError> errors) {
        JsonArray list = new JsonArray();
        errors.forEach(error -> list.add(new JsonObject()
                .put("path", error.path())
                .put("line", error.line())
                .put("message", error.message())));
        return OperatorAnswer.failed(ResultCode.CHANGE_INVALID).with("errors", list);
    }

    /**
     * Returns the answer to a request that lacks something.
     *
     * @param message what is wrong
     * @return the answer
     */
    private static CompletionStage<OperatorAnswer> malformed(String message) {
        return done(OperatorAnswer.failed(ResultCode.MALFORMED_REQUEST, message));
    }

    /**
     * Returns an answer at once.
     *
     * @param answer the answer
     * @return the answer
     */
    private static CompletionStage<OperatorAnswer> done(OperatorAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
