package org.borageproxy.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that the production policies are at least as good as the baseline on short traces. */
class ExperimentTest {

    @Test
    void productionPoliciesMatchOrBeatBaselineWithoutWrongfulRefusals(@TempDir Path folder) throws Exception {
        ExperimentOptions options = ExperimentOptions.DEFAULT
                .withSeconds(60)
                .withSeeds(List.of(1L, 2L))
                .withFolder(folder);
        Report report = Experiment.run(options);
        System.out.println(report.toTable());
        for (Deployment deployment : Deployment.values()) {
            double product = report.average(deployment, "borageproxy", Measures::attainmentPerAccelerator);
            double baseline = report.average(deployment, "baseline", Measures::attainmentPerAccelerator);
            assertTrue(product >= baseline, deployment + ": " + product + " compared with baseline " + baseline);
            double worst = report.average(deployment, "borageproxy", Measures::worstWorkspaceAttainment);
            double baselineWorst = report.average(deployment, "baseline", Measures::worstWorkspaceAttainment);
            assertTrue(worst >= baselineWorst, deployment + ": " + worst + " compared with baseline " + baselineWorst);
            assertEquals(0, report.average(deployment, "borageproxy", Measures::wrongfulRefusals));
        }
        assertEquals(9, Files.readAllLines(folder.resolve("experiment.csv")).size());
        assertTrue(Files.readString(folder.resolve("experiment.svg")).startsWith("<svg"));
    }
}
