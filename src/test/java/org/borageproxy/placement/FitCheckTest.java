package org.borageproxy.placement;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.tree.Adapter;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the check that the configured models fit into the memory of the engines. */
class FitCheckTest {

    private static final BackendServer ENGINE =
            new FakeEngine(new VirtualTime(Duration.ofDays(1).toNanos()), "one", "a", true, 100).server();

    @Test
    void modelsWithAdaptersMustFitOnSomeAccelerator() {
        assertEquals(new FitCheck.Result.Fits(), FitCheck.check(models(60, 30), List.of(ENGINE)));
        assertEquals(
                new FitCheck.Result.DoesNotFit(List.of(new ModelVersionId("gemma", "1"))),
                FitCheck.check(models(60, 40), List.of(ENGINE)));
        assertEquals(new FitCheck.Result.Unchecked(), FitCheck.check(models(60, 40), List.of()));
    }

    private static Configuration models(long llama, long gemma) {
        Map<String, Model> models = Map.of("llama", model("llama", llama), "gemma", model("gemma", gemma));
        Map<String, Adapter> adapters = Map.of("quilt", new Adapter("quilt", "llama", 10));
        return new Configuration(1, Map.of(), models, adapters, List.of(), Map.of());
    }

    private static Model model(String name, long bytes) {
        return new Model(name, bytes, 1, 1, List.of(new ModelVersion("1", 1)));
    }
}
