package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A mistake in a scenario must be reported with file and line: if it were ignored, the scenario might test nothing. */
class ScenarioInputTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "controlers 3 | unknown word controlers",
                "controllers | a value is missing: controllers",
                "controllers three | not a number in: controllers three",
                "workers report 3 lease 20 | a value is missing: workers report 3 lease 20",
                "at 3 | a value is missing: at 3",
                "at noon crash leader | not a number in: at noon crash leader",
                "at 3 crush leader | unknown word crush",
                "at 3 submit run-000002 tusks 3 | unknown word tusks",
                "at 3 submit run-000002 tasks | a value is missing: at 3 submit run-000002 tasks",
                "at 3 expect run-000009 done | no line before submits run-000009",
                "at 3 expect run-000001 finished | unknown job state finished",
                "at 3 expect occurred miracles at-least 1 | unknown occurrence miracles",
                "at 3 slow node-0 state | a value is missing: at 3 slow node-0 state",
                "at 3 slow node-0 state much | not a number in: at 3 slow node-0 state much",
                "at 3 read-at-elections | a value is missing: at 3 read-at-elections",
                "at 3 read-at-elections perhaps | neither on nor off: perhaps",
                "at 3 expect lost-start-orders at-most | a value is missing: at 3 expect lost-start-orders at-most",
                "at 3 expect longest-start-order-after-cancel at-most soon "
                        + "| not a number in: at 3 expect longest-start-order-after-cancel at-most soon",
                "at 3 expect occurred read-at-all-controllers at-least | a value is missing: at 3 expect occurred read-at-all-controllers at-least",
            })
    void mistakeIsReportedWithFileAndLine(String line, String message) {
        List<String> lines = List.of("# a comment", "at 2 submit run-000001 tasks 1 run 1", line);
        Exception e = assertThrows(IllegalArgumentException.class, () -> ScenarioRunner.play("bad.txt", lines));
        assertEquals("bad.txt:3: " + message, e.getMessage());
    }
}
