package notchpick;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import notchpick.coordination.Deployment.Quota;
import notchpick.protocol.InvalidMessageException;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.simulation.ClusterConfig;
import notchpick.simulation.SimulatedCluster;

/** Jobs with each constraint on where their tasks may run, and with pairs of them, on two machine types. */
final class ConstrainedJobs {
    /** The number of times that each array is submitted. */
    private static final int ROUNDS = 4;

    private static final long ROUND_INTERVAL_MS = 15_000;
    private static final int MACHINES_PER_POOL = 4;

    /** One job: its options and how long its tasks run. */
    private record Template(Map<String, String> options, double runS) {}

    private static final List<Template> ARRAYS = List.of(
            new Template(Map.of("tasks", "60", "team", "a", "one-zone", "yes"), 25),
            new Template(Map.of("tasks", "40", "team", "b", "one-zone", "yes", "checkpoint-interval", "5"), 15),
            new Template(Map.of("tasks", "9", "team", "a", "apart", "yes"), 45),
            new Template(Map.of("tasks", "6", "team", "b", "apart", "yes", "types", "g8"), 25),
            new Template(Map.of("tasks", "6", "team", "b", "zone", "west", "types", "m8"), 15),
            new Template(Map.of("tasks", "5", "team", "a", "one-zone", "yes", "on-demand", "yes"), 35),
            new Template(Map.of("tasks", "4", "team", "b", "on-demand", "yes"), 15),
            new Template(Map.of("tasks", "4", "team", "a", "one-zone", "yes", "urgency", "high", "due", "60"), 8));

    private static final List<Template> SERVICES = List.of(
            new Template(Map.of("tasks", "5", "team", "b", "one-zone", "yes", "form", "service", "expected", "0"), 0),
            new Template(Map.of("tasks", "5", "team", "b", "apart", "yes", "form", "service", "expected", "0"), 0));

    private ConstrainedJobs() {}

    /** The teams that the jobs belong to. */
    static List<Quota> teams() {
        return List.of(
                new Quota("a", Resources.NONE, new Resources(60, 0, 0)),
                new Quota("b", Resources.NONE, Resources.NONE));
    }

    /**
     * Sets the capacity of the cloud, so that some jobs have to wait for machines.
     *
     * @param scale multiplies the capacity
     */
    static void offerMachines(SimulatedCluster cluster, int scale) {
        for (String zone : List.of("east", "west")) {
            cluster.setCapacity("m8", zone, true, scale * MACHINES_PER_POOL);
            cluster.setCapacity("m8", zone, false, scale * 2);
            cluster.setCapacity("g8", zone, true, scale * 2);
        }
    }

    /** The machine types that {@link #offerMachines} offers. */
    static List<MachineType> machineTypes() {
        return List.of(
                ClusterConfig.machineType("m8", 2), ClusterConfig.machineType("g8", new Resources(16, 2, 64), 3));
    }

    /**
     * Submits all jobs, the arrays several times one after another; returns their ids.
     *
     * @param scale multiplies the number of rounds, which then follow each other faster
     */
    static List<String> submit(SimulatedCluster cluster, int scale) {
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < SERVICES.size(); i++) {
            jobs.add(submitLater(cluster, String.format("run-04%04d", i), SERVICES.get(i), 0));
        }
        for (int round = 0; round < scale * ROUNDS; round++) {
            for (int i = 0; i < ARRAYS.size(); i++) {
                String job = String.format("run-05%02d%02d", round, i);
                jobs.add(submitLater(cluster, job, ARRAYS.get(i), round * ROUND_INTERVAL_MS / scale));
            }
        }
        return jobs;
    }

    private static String submitLater(SimulatedCluster cluster, String job, Template template, long delayMs) {
        cluster.time().schedule(delayMs, () -> {
            try {
                cluster.users().submit(Submissions.submission(job, template.options()), template.runS(), 0.8, false);
            } catch (InvalidMessageException e) {
                throw new IllegalArgumentException(job, e);
            }
        });
        return job;
    }
}
