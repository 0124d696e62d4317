package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** What is rented for a backlog, and which idle machines are unneeded. */
class FleetPlannerTest {
    private static final MachineType SMALL =
            new MachineType("small", new Resources(4, 0, 16), 50, 1, 1.0, 0.2, 30, List.of("east", "west"));
    private static final MachineType LARGE =
            new MachineType("large", new Resources(32, 0, 256), 50, 1, 9.0, 2.0, 30, List.of("east"));
    private static final Map<String, MachineType> TYPES = Map.of("small", SMALL, "large", LARGE);

    private static JobSpec job(int tasks, boolean spot, boolean service) {
        return TestJobs.job("run-1")
                .form(service ? JobSpec.Form.SERVICE : JobSpec.Form.ARRAY)
                .tasks(tasks)
                .demand(new Resources(2, 0, 2))
                .spot(spot)
                .estimateS(20)
                .build();
    }

    /** The plan for one job where nothing is owned yet, with a minute's horizon. */
    private static ScalingPlan planFor(JobDemand demand, Predicate<NodePool> refused) {
        return FleetPlanner.plan(List.of(demand), List.of(), TYPES, 60, refused, pool -> false);
    }

    @Test
    void rentsCheapMachinesInBothZones() {
        ScalingPlan plan =
                planFor(new JobDemand(job(8, true, false), 8, 60, OnDemandAccess.NONE, false), pool -> false);
        assertEquals(
                Map.of(new NodePool("small", "east", true), 2, new NodePool("small", "west", true), 2),
                plan.scaleOut());
    }

    @Test
    void shortTasksRunOneAfterTheOtherWithinTheHorizon() {
        ScalingPlan plan = planFor(
                new JobDemand(job(8, true, false), 8, 20, OnDemandAccess.NONE, false),
                pool -> pool.zone().equals("west"));
        assertEquals(Map.of(new NodePool("small", "east", true), 2), plan.scaleOut());
    }

    @Test
    void replicasRunConcurrently() {
        ScalingPlan plan = planFor(
                new JobDemand(job(4, true, true), 4, 20, OnDemandAccess.NONE, false),
                pool -> pool.zone().equals("west"));
        assertEquals(Map.of(new NodePool("small", "east", true), 2), plan.scaleOut());
    }

    @Test
    void rentsOnDemandMachinesOnlyForJobsThatMayOrMustUseThem() {
        Predicate<NodePool> noSpot = NodePool::spot;
        assertEquals(
                Map.of(),
                planFor(new JobDemand(job(2, true, false), 2, 60, OnDemandAccess.NONE, false), noSpot)
                        .scaleOut());
        assertEquals(
                1,
                planFor(new JobDemand(job(2, true, false), 2, 60, OnDemandAccess.RENTAL, false), noSpot)
                        .scaleOut()
                        .size());
        assertEquals(
                1,
                planFor(new JobDemand(job(2, false, false), 2, 60, OnDemandAccess.RENTAL, false), pool -> false)
                        .scaleOut()
                        .size());
    }

    @Test
    void idleMachinesWithoutDemandAreUnneeded() {
        NodePool pool = new NodePool("small", "east", true);
        List<OwnedMachine> owned = List.of(
                new OwnedMachine("m-1", pool, SMALL.size(), false),
                new OwnedMachine("m-2", pool, SMALL.size(), true),
                new OwnedMachine("m-3", pool, SMALL.size(), true));
        ScalingPlan plan = FleetPlanner.plan(
                List.of(new JobDemand(job(4, true, false), 4, 60, OnDemandAccess.NONE, false)),
                owned,
                TYPES,
                60,
                p -> false,
                p -> false);
        assertEquals(Set.of("m-3"), plan.unneeded());
        assertEquals(Map.of(), plan.scaleOut());
    }

    /** Tasks that free resources of a busy on-demand machine can take need no further machine. */
    @Test
    void busyOnDemandMachinesServeJobsThatMayUseThem() {
        NodePool pool = new NodePool("small", "east", false);
        OwnedMachine busy = new OwnedMachine("m-1", pool, SMALL.size(), false);
        assertEquals(
                Map.of(), planForSpotJob(busy, OnDemandAccess.RUNNING_MACHINES).scaleOut());
        assertEquals(
                Map.of(new NodePool("small", "east", true), 1),
                planForSpotJob(busy, OnDemandAccess.NONE).scaleOut());
    }

    /** The job could be served by a cheaper machine, so an idle on-demand machine is returned. */
    @Test
    void idleOnDemandMachinesAreKeptOnlyForJobsThatMayRentThem() {
        NodePool pool = new NodePool("small", "east", false);
        OwnedMachine idle = new OwnedMachine("m-1", pool, SMALL.size(), true);
        ScalingPlan plan = planForSpotJob(idle, OnDemandAccess.RUNNING_MACHINES);
        assertEquals(Set.of("m-1"), plan.unneeded());
        assertEquals(Map.of(new NodePool("small", "east", true), 1), plan.scaleOut());
        assertEquals(Set.of(), planForSpotJob(idle, OnDemandAccess.RENTAL).unneeded());
    }

    private static ScalingPlan planForSpotJob(OwnedMachine owned, OnDemandAccess access) {
        return FleetPlanner.plan(
                List.of(new JobDemand(job(2, true, false), 2, 60, access, false)),
                List.of(owned),
                TYPES,
                60,
                pool -> pool.zone().equals("west"),
                pool -> false);
    }
}
