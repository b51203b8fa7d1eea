package org.borageproxy.tree;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the parsing, validation, inheritance and comparison of documents of the settings tree. */
class TreeParseResultTest {

    private static EffectiveTree valid(String document) {
        return assertInstanceOf(TreeParseResult.Valid.class, TreeParseResult.parse(document))
                .tree();
    }

    private static Set<String> errorPaths(String document) {
        TreeParseResult.Invalid invalid =
                assertInstanceOf(TreeParseResult.Invalid.class, TreeParseResult.parse(document));
        return Set.copyOf(invalid.errors().stream().map(TreeError::path).toList());
    }

    private static String originOf(EffectiveTree tree, String path, String key) {
        return tree.values().stream()
                .filter(value -> value.path().equals(path) && value.key().equals(key))
                .findFirst()
                .orElseThrow()
                .origin();
    }

    @Test
    void exampleIsValidAndReportsOriginsOfValues() throws IOException {
        EffectiveTree tree = valid(Files.readString(Path.of("docs/examples/tree.toml")));
        Configuration configuration = tree.toConfiguration(7, Map.of());
        assertEquals(5_000, configuration.workspaces().get("ngo-north").burstTokens());
        assertEquals(4_000, configuration.workspaces().get("ngo-north").rateTokensPerSecond());
        assertEquals(10, configuration.workspaces().get("district").priority());
        assertEquals(2, configuration.models().get("llama").versions().size());
        assertEquals(150_000_000, configuration.adapters().get("route-notes").memoryBytes());
        String path = "branches.sahyog.branches.north.workspaces.ngo-north";
        assertEquals("branches.sahyog.branches.north", originOf(tree, path, "burst_tokens"));
        assertEquals("branches.sahyog", originOf(tree, path, "rate_tokens_per_second"));
        assertEquals("root", originOf(tree, path, "priority"));
        assertEquals("default", originOf(tree, "branches.sahyog.routes.dispatch", "open"));
    }

    @Test
    void allFormatErrorsAreReportedByPath() {
        Set<String> paths = errorPaths("colour = 1\n[settings]\nburst_tokens = -5\nrate = 3\n"
                + "[models.m]\nmemory_bytes = \"big\"\nversions = {}\n[adapters.a]\n[routes.r]\npath_prefix = \"x\"\n"
                + "service = 3\nrepeatable = 1\n[models.n]\nversions = { \"1\" = -1 }\n[models.o]\n");
        assertEquals(
                Set.of(
                        "colour",
                        "settings.burst_tokens",
                        "settings.rate",
                        "models.m.memory_bytes",
                        "models.m.versions",
                        "adapters.a.model",
                        "routes.r.path_prefix",
                        "routes.r.service",
                        "routes.r.repeatable",
                        "models.n.versions",
                        "models.n.versions.1",
                        "models.o.versions"),
                paths);
    }

    @Test
    void allConsistencyErrorsAreReportedByPath() {
        Set<String> paths = errorPaths("[settings]\nmemory_bytes = 1\nadapter_memory_bytes = 1\nburst_tokens = 10\n"
                + "rate_tokens_per_second = 1\n[workspaces.w]\nusable_models = [\"gone\"]\n[branches.b.workspaces.w]\n"
                + "[models.m]\nversions = { \"1\" = 1 }\n[branches.b.adapters.m]\nmodel = \"m\"\n"
                + "[adapters.a]\nmodel = \"none\"\n[routes.r]\npath_prefix = \"/r\"\nservice = \"s\"\ntoken_cost = 11\n"
                + "[branches.b.routes.q]\npath_prefix = \"/r\"\nservice = \"s\"\n");
        assertEquals(
                Set.of(
                        "workspaces.w.usable_models",
                        "workspaces.w.burst_tokens",
                        "branches.b.workspaces.w",
                        "branches.b.adapters.m",
                        "adapters.a.model",
                        "branches.b.routes.q.path_prefix"),
                paths);
    }

    @Test
    void syntaxErrorReportsItsLine() {
        TreeParseResult.Invalid invalid =
                assertInstanceOf(TreeParseResult.Invalid.class, TreeParseResult.parse("[settings]\nx = = 1"));
        assertEquals(2, invalid.errors().get(0).line());
    }

    @Property(seed = "42", tries = 300)
    void valueIsInheritedFromNearestBranchThatSetsIt(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 50) Integer> bursts) {
        StringBuilder document = new StringBuilder("[settings]\nrate_tokens_per_second = 1\nburst_tokens = 999\n");
        StringBuilder path = new StringBuilder();
        long expected = 999;
        String origin = "root";
        List<Long> all = new ArrayList<>();
        for (int depth = 0; depth < bursts.size(); depth++) {
            path.append(depth == 0 ? "" : ".").append("branches.b").append(depth);
            if (bursts.get(depth) > 25) {
                expected = bursts.get(depth);
                origin = path.toString();
                document.append("[" + path + ".settings]\nburst_tokens = " + expected + "\n");
            }
            document.append("[" + path + ".workspaces.w" + depth + "]\n");
            all.add(expected);
        }
        EffectiveTree tree = valid(document.toString());
        assertEquals(all, tree.workspaces().stream().map(Workspace::burstTokens).toList());
        String last = path + ".workspaces.w" + (bursts.size() - 1);
        assertEquals(origin, originOf(tree, last, "burst_tokens"));
    }

    @Test
    void differencesListChangedAndRemovedValues() {
        String settings = "[settings]\nrate_tokens_per_second = 1\nburst_tokens = 10\n";
        List<TreeDifference> differences = TreeDifference.between(
                valid(settings + "[workspaces.a]\n[workspaces.b]\n"),
                valid(settings + "[workspaces.b]\npriority = 3\n"));
        assertTrue(differences.contains(new TreeDifference("workspaces.b", "priority", "0", "3")));
        assertTrue(differences.contains(new TreeDifference("workspaces.a", "priority", "0", "")));
        assertEquals(5, differences.size());
    }
}
