package org.borageproxy.execution;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.borageproxy.result.Execution;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Compares the retry policy with the table in docs/design/execution.md for every combination of inputs. */
class RetryPolicyTest {

    private static final int COLUMNS = 6;

    @Test
    void decisionsMatchDocumentedTable() throws IOException {
        List<List<String>> rows = rows();
        int combinations = 0;
        for (Execution execution : Execution.values()) {
            for (SentOutput sent : SentOutput.values()) {
                for (int bits = 0; bits < 8; bits++) {
                    RetryPolicy.Situation situation = new RetryPolicy.Situation(
                            execution, (bits & 1) != 0, sent, (bits & 2) != 0, (bits & 4) != 0);
                    assertEquals(expected(rows, situation), RetryPolicy.INSTANCE.decide(situation), "" + situation);
                    combinations++;
                }
            }
        }
        assertEquals(72, combinations);
    }

    private static List<List<String>> rows() throws IOException {
        List<List<String>> rows = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("docs/design/execution.md"))) {
            List<String> cells = Arrays.stream(line.split("\\|"))
                    .map(String::strip)
                    .filter(cell -> !cell.isEmpty())
                    .toList();
            if (line.startsWith("| ")
                    && cells.size() == COLUMNS
                    && !cells.get(0).equals("execution")) {
                rows.add(cells);
            }
        }
        rows.removeIf(cells -> cells.get(0).startsWith("---"));
        return rows;
    }

    private static RetryDecision expected(List<List<String>> rows, RetryPolicy.Situation situation) {
        List<String> actual = List.of(
                situation.execution().name(),
                word(situation.repeatable()),
                situation.sent().name(),
                word(situation.timeLeft()),
                word(situation.budgetLeft()));
        for (List<String> row : rows) {
            boolean matches = true;
            for (int column = 0; column < actual.size(); column++) {
                matches &= row.get(column).equals("any") || row.get(column).equals(actual.get(column));
            }
            if (matches) {
                return RetryDecision.valueOf(row.get(COLUMNS - 1));
            }
        }
        throw new AssertionError("No row for " + situation);
    }

    private static String word(boolean value) {
        return value ? "yes" : "no";
    }
}
