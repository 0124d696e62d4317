package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import notchpick.scheduling.Consolidation.Candidate;
import org.junit.jupiter.api.Test;

/** Half-empty machines are drained onto others; more of them at a time if less is in use. */
class ConsolidationTest {
    private record Node(String name, Resources freeResources) implements CandidateNode {
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
    private static List<Candidate<Node>> halfEmpty(int count) {
        List<Candidate<Node>> machines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            machines.add(new Candidate<>(new Node("m-" + i, new Resources(4, 0, 60)), Optional.of(List.of(task()))));
        }
        return machines;
    }

    @Test
    void drainsAtMostTheMaximumAndNeverATarget() {
        assertEquals(
                5, Consolidation.selectForDraining(halfEmpty(10), List.of(), 9).size());
        assertEquals(2, new HashSet<>(Consolidation.selectForDraining(halfEmpty(10), List.of(), 2)).size());
        assertEquals(
                0, Consolidation.selectForDraining(halfEmpty(10), List.of(), 0).size());
        assertEquals(
                0, Consolidation.selectForDraining(halfEmpty(1), List.of(), 1).size());
    }

    @Test
    void reservesResourcesForTasksThatAreAlreadyMoving() {
        assertEquals(
                1,
                Consolidation.selectForDraining(halfEmpty(4), List.of(task(), task()), 9)
                        .size());
        assertEquals(
                0,
                Consolidation.selectForDraining(halfEmpty(2), List.of(task(), task(), task()), 9)
                        .size());
    }

    @Test
    void drainsMoreMachinesAtATimeIfLessIsInUse() {
        assertEquals(1, Consolidation.maxDraining(300, 0.95));
        assertEquals(1, Consolidation.maxDraining(3, 0.1));
        assertTrue(Consolidation.maxDraining(300, 0.3) > Consolidation.maxDraining(300, 0.5));
    }
}
