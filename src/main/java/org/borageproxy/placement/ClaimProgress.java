package org.borageproxy.placement;

import java.util.List;
import java.util.function.Predicate;

import org.borageproxy.claim.ClaimLink;
import org.borageproxy.claim.Claims;
import org.borageproxy.claim.Target;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.time.MonotonicClock;

/**
 * Records how far the orders to engines have brought the claims of models and adapters. Confined to the thread of the
 * placement.
 */
final class ClaimProgress {

    private final Claims claims;
    private final MonotonicClock clock;

    /**
     * Creates a recorder.
     *
     * @param claims the claims
     * @param clock the monotonic clock
     */
    ClaimProgress(Claims claims, MonotonicClock clock) {
        this.claims = claims;
        this.clock = clock;
    }

    /** Records that nothing may be ordered yet in this term. */
    void handover() {
        record(target -> true, ClaimLink.UNPLANNED, "handover");
    }

    /**
     * Records why nothing is ordered for the claims that no engine can serve or is about to.
     *
     * @param service the service
     * @param pool the pool of the engines
     * @param engines the engines of the service
     * @param models plans the models
     * @param adapters plans the adapters
     * @param mayUseStore whether a load from the weight store may start now
     */
    void unplanned(
            String service,
            EnginePool pool,
            List<TrackedEngine> engines,
            LoadPlanner models,
            AdapterPlanner adapters,
            boolean mayUseStore) {
        for (Target target : claims.dueForObstacle(service, clock.nanoTime())) {
            if (!pool.models().containsKey(target.model())) {
                record(target::equals, ClaimLink.UNPLANNED, "model-unknown");
            } else if (engines.stream().noneMatch(engine -> engine.hasOrExpects(target.model()))) {
                record(target::equals, ClaimLink.UNPLANNED, models.obstacle(target.model(), mayUseStore));
            } else if (!target.adapter().isEmpty() && adapters.isMissing(target)) {
                record(target::equals, ClaimLink.UNPLANNED, adapters.obstacle(target));
            }
        }
    }

    /**
     * Records that an engine is told to make room for a model.
     *
     * @param engine the engine
     * @param successor the model
     */
    void makingRoom(TrackedEngine engine, String successor) {
        record(ofModel(engine, successor), ClaimLink.MAKING_ROOM, name(engine));
    }

    /**
     * Records that an order is sent.
     *
     * @param engine the engine
     * @param order the order
     */
    void ordered(TrackedEngine engine, EngineClient.EngineOrder order) {
        if (order.isLoad()) {
            record(concerned(engine, order), ClaimLink.ORDERED, name(engine));
        }
    }

    /**
     * Records the reply to an order, before it is applied to the engine.
     *
     * @param engine the engine
     * @param order the order
     * @param reply the reply
     */
    void replied(TrackedEngine engine, EngineClient.EngineOrder order, EngineClient.OrderReply reply) {
        boolean isAccepted = reply == EngineClient.OrderReply.ACCEPTED || reply == EngineClient.OrderReply.HELD;
        if (order.isLoad()) {
            record(
                    concerned(engine, order),
                    isAccepted ? ClaimLink.ACCEPTED : ClaimLink.REJECTED,
                    isAccepted ? name(engine) : name(engine) + ':' + reply);
        } else if (isAccepted) {
            Predicate<Target> concerned = concerned(engine, order);
            record(target -> concerned.test(target) && isUsable(engine, target), ClaimLink.UNLOADED, name(engine));
        }
    }

    /**
     * Records that the entries are told what an engine has.
     *
     * @param engine the engine
     */
    void published(TrackedEngine engine) {
        record(target -> isUsable(engine, target), ClaimLink.LOADED, name(engine));
    }

    private void record(Predicate<Target> targets, ClaimLink link, String detail) {
        claims.record(targets, link, detail, clock.nanoTime());
    }

    private static Predicate<Target> concerned(TrackedEngine engine, EngineClient.EngineOrder order) {
        Predicate<Target> ofModel = ofModel(engine, order.model());
        return target -> ofModel.test(target)
                && (order.adapter().isEmpty() || order.adapter().equals(target.adapter()));
    }

    private static Predicate<Target> ofModel(TrackedEngine engine, String model) {
        return target -> target.model().equals(model) && target.admits(engine.server());
    }

    private static boolean isUsable(TrackedEngine engine, Target target) {
        return target.admits(engine.server())
                && engine.loadedModels().containsKey(target.model())
                && (target.adapter().isEmpty()
                        || engine.loadedModels().get(target.model()).contains(target.adapter()));
    }

    private static String name(TrackedEngine engine) {
        return engine.server().name().value();
    }
}
