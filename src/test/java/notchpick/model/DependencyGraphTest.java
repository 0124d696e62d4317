package notchpick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which jobs are blocked, and the cancellation of dependents. */
class DependencyGraphTest {
    private static final JobRecord CANCELLED = new JobRecord(JobStatus.CANCELLED, 1, 0, 0, false);

    private final Set<String> open = new HashSet<>();
    private final DependencyGraph dependencies = new DependencyGraph(open::contains);

    private void open(String job, String... dependsOn) {
        open.add(job);
        dependencies.addJob(job, List.of(dependsOn));
    }

    private void close(String job) {
        open.remove(job);
        dependencies.removeJob(job);
    }

    private static JobRecord done(long endedAtMs) {
        return new JobRecord(JobStatus.DONE, 1, 1, endedAtMs, false);
    }

    @Test
    void blocksJobUntilAllDependenciesAreDone() {
        open("a");
        open("b");
        open("c", "a", "b");
        close("a");
        assertEquals(Set.of("a"), dependencies.unresolved());
        assertTrue(dependencies.applyOutcome("a", done(700)).isEmpty());
        close("b");
        assertTrue(dependencies.isBlocked("c"), "b has ended with an unknown outcome");
        assertEquals(Set.of("c"), dependencies.applyOutcome("b", done(500)));
        assertFalse(dependencies.isBlocked("c"));
        assertEquals(700, dependencies.lastEndedAtMs("c"));
    }

    @Test
    void acceptsJobsInAnyOrder() {
        open("c", "b");
        open("b", "a");
        assertEquals(Set.of("a"), dependencies.unresolved());
        assertTrue(dependencies.isBlocked("c") && dependencies.isBlocked("b"));
        dependencies.applyOutcome("a", CANCELLED);
        assertTrue(dependencies.isCancelledByDependency("c") && dependencies.isCancelledByDependency("b"));
    }

    @Test
    void cancelsDependentsThatAreAddedLater() {
        open("a");
        open("b", "a");
        close("a");
        dependencies.applyOutcome("a", CANCELLED);
        open("c", "b");
        assertTrue(dependencies.isCancelledByDependency("c"));
        close("b");
        dependencies.applyOutcome("b", CANCELLED);
        assertTrue(dependencies.isCancelledByDependency("c"));
        close("c");
        assertTrue(dependencies.cancelledByDependency().isEmpty());
        assertTrue(dependencies.unresolved().isEmpty());
    }

    @Test
    void dropsUnresolvedJobsWithoutDependents() {
        open("b", "a");
        close("b");
        assertTrue(dependencies.unresolved().isEmpty());
    }

    @Test
    void addsJobsIdempotently() {
        open("a");
        open("b", "a");
        close("a");
        dependencies.applyOutcome("a", done(9));
        open("b", "a");
        assertFalse(dependencies.isBlocked("b"));
        assertTrue(dependencies.applyOutcome("a", CANCELLED).isEmpty());
        assertFalse(dependencies.isCancelledByDependency("b") && dependencies.isBlocked("b"));
    }

    @Test
    void cancelsLongChainsWithoutRecursion() {
        open("j0");
        for (int i = 1; i < 20_000; i++) {
            open("j" + i, "j" + (i - 1));
        }
        close("j0");
        dependencies.applyOutcome("j0", CANCELLED);
        assertEquals(19_999, dependencies.cancelledByDependency().size());
    }
}
