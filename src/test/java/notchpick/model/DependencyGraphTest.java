package notchpick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which jobs wait, which are ready, and which fall with a cancelled one. */
class DependencyGraphTest {
    private static final JobRecord CANCELLED = new JobRecord(JobStatus.CANCELLED, 1, 0, 0, false);

    private final Set<String> open = new HashSet<>();
    private final DependencyGraph dependencies = new DependencyGraph(open::contains);

    private void open(String job, String... needs) {
        open.add(job);
        dependencies.opened(job, List.of(needs));
    }

    private void close(String job) {
        open.remove(job);
        dependencies.closed(job);
    }

    private static JobRecord done(long at) {
        return new JobRecord(JobStatus.DONE, 1, 1, at, false);
    }

    @Test
    void aJobIsHeldUntilAllThatItNeedsAreKnownToBeDone() {
        open("a");
        open("b");
        open("c", "a", "b");
        close("a");
        assertEquals(Set.of("a"), dependencies.unresolved());
        assertTrue(dependencies.resolved("a", done(700)).isEmpty());
        close("b");
        assertTrue(dependencies.isBlocked("c"), "over, but nobody knows how");
        assertEquals(Set.of("c"), dependencies.resolved("b", done(500)));
        assertFalse(dependencies.isBlocked("c"));
        assertEquals(700, dependencies.lastEndedAt("c"));
    }

    @Test
    void theOrderInWhichJobsAreReadDoesNotMatter() {
        open("c", "b");
        open("b", "a");
        assertEquals(Set.of("a"), dependencies.unresolved());
        assertTrue(dependencies.isBlocked("c") && dependencies.isBlocked("b"));
        dependencies.resolved("a", CANCELLED);
        assertTrue(dependencies.isDoomed("c") && dependencies.isDoomed("b"));
    }

    @Test
    void whatComesAfterACancelledOneIsCancelledHoweverLateItComes() {
        open("a");
        open("b", "a");
        close("a");
        dependencies.resolved("a", CANCELLED);
        open("c", "b");
        assertTrue(dependencies.isDoomed("c"));
        close("b");
        dependencies.resolved("b", CANCELLED);
        assertTrue(dependencies.isDoomed("c"));
        close("c");
        assertTrue(dependencies.doomed().isEmpty());
        assertTrue(dependencies.unresolved().isEmpty());
    }

    @Test
    void whatNobodyNeedsAnyMoreIsNotAskedFor() {
        open("b", "a");
        close("b");
        assertTrue(dependencies.unresolved().isEmpty());
    }

    @Test
    void toHearTwiceChangesNothing() {
        open("a");
        open("b", "a");
        close("a");
        dependencies.resolved("a", done(9));
        open("b", "a");
        assertFalse(dependencies.isBlocked("b"));
        assertTrue(dependencies.resolved("a", CANCELLED).isEmpty());
        assertFalse(dependencies.isDoomed("b") && dependencies.isBlocked("b"));
    }

    @Test
    void longChainsAreWalkedWithoutDepth() {
        open("j0");
        for (int i = 1; i < 20_000; i++) {
            open("j" + i, "j" + (i - 1));
        }
        close("j0");
        dependencies.resolved("j0", CANCELLED);
        assertEquals(19_999, dependencies.doomed().size());
    }
}
