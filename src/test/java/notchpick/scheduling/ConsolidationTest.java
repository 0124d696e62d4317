package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import notchpick.scheduling.Consolidation.Candidate;
import org.junit.jupiter.api.Test;

/** Half-empty machines are emptied into others, more at a time the more there are. */
class ConsolidationTest {
    private record Site(String name, Resources freeResources) implements CandidateNode {
        @Override
        public String type() {
            return "m8";
        }

        @Override
        public String zone() {
            return "east";
        }

        @Override
        public boolean isSpot() {
            return true;
        }

        @Override
        public Set<String> images() {
            return Set.of("i");
        }
    }

    private static JobSpec task() {
        return TestJobs.job("run-1")
                .priority(JobSpec.Priority.LOW)
                .demand(new Resources(4, 0, 4))
                .checkpointIntervalS(10)
                .checkpointWriteS(1)
                .build();
    }

    /** Machines of eight cores with one task of four each. */
    private static List<Candidate<Site>> halfEmpty(int count) {
        List<Candidate<Site>> machines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            machines.add(new Candidate<>(new Site("m-" + i, new Resources(4, 0, 60)), List.of(task())));
        }
        return machines;
    }

    @Test
    void emptiesAsManyAsMayBeAndNeverWhatTakesOthersOver() {
        assertEquals(5, Consolidation.find(halfEmpty(10), List.of(), 9).size());
        assertEquals(2, new HashSet<>(Consolidation.find(halfEmpty(10), List.of(), 2)).size());
        assertEquals(0, Consolidation.find(halfEmpty(10), List.of(), 0).size());
        assertEquals(0, Consolidation.find(halfEmpty(1), List.of(), 1).size());
    }

    @Test
    void leavesRoomToWhatIsOnTheMoveAlready() {
        assertEquals(
                1, Consolidation.find(halfEmpty(4), List.of(task(), task()), 9).size());
        assertEquals(
                0,
                Consolidation.find(halfEmpty(2), List.of(task(), task(), task()), 9)
                        .size());
    }

    @Test
    void emptiesMoreAtATimeTheSparserTheUse() {
        assertEquals(1, Consolidation.most(300, 0.95));
        assertEquals(1, Consolidation.most(3, 0.1));
        assertTrue(Consolidation.most(300, 0.3) > Consolidation.most(300, 0.5));
    }
}
