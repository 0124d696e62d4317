package review2;

import java.util.List;

/** A machine fails what it starts for some seconds; healthy again, it takes no work for as long as a task runs on it. */
final class SickMachine {
    private SickMachine() {}

    public static void main(String[] args) {
        Deployment.main(args[0], Deployment.MOMBASA, SickMachine::run);
    }

    private static String run(Deployment d, boolean trouble) throws Exception {
        // Two ordinary machines are up at the start, one in each zone; the cloud has no further capacity.
        Worker first = d.cloud.addRunning(d.site.zones().get(0), false);
        Worker second = d.cloud.addRunning(d.site.zones().get(1), false);
        d.cloud.setCapacity(d.site.zones().get(0), false, 1);
        d.cloud.setCapacity(d.site.zones().get(1), false, 1);
        // Long work that fills one machine and leaves three of eight CPUs free on the other.
        d.submit(new Jobs.Job(Jobs.submission("run-000001", "fleet-tech", 1, 8, 14, 140), 140, false));
        d.submit(new Jobs.Job(Jobs.submission("run-000002", "fleet-tech", 1, 5, 5, 140), 140, false));
        await(d, "run-000001/0");
        await(d, "run-000002/0");
        Worker machine = d.machineOf("run-000002/0").equals(first.name) ? first : second;
        if (trouble) {
            machine.setSick(true);
            Rec.log("%s fails every task that it starts from now on", machine.name);
        }
        List<String> ids = List.of("run-000011", "run-000012");
        for (String id : ids) {
            d.submit(new Jobs.Job(Jobs.submission(id, "fleet-tech", 1, 1, 1.8, 10), 10, false));
        }
        if (trouble) {
            if (!d.awaitFailures(2, 12_000)) {
                throw new Deployment.CannotRun("the jobs did not fail on the sick machine");
            }
            // The worker has reported both failures by then.
            Thread.sleep(1500);
            machine.setSick(false);
            Rec.log("%s is healthy again; the troubles are over", machine.name);
        }
        d.submit(new Jobs.Job(Jobs.submission("run-000021", "fleet-tech", 1, 1, 1.8, 10), 10, false));
        while (Rec.ms() < 112_000) {
            Thread.sleep(250);
            for (String id : List.of("run-000021", "run-000011", "run-000012")) {
                long waitedMs = d.waitingMs(id);
                if (waitedMs > Deployment.MAX_WAIT_MS) {
                    d.poll(id);
                    return id + " was left waiting for " + waitedMs / 1000.0 + " s while a machine that fits had room";
                }
            }
            if (Rec.ms() % 5000 < 250
                    && "done".equals(d.poll("run-000021"))
                    && "done".equals(d.poll("run-000011"))
                    && "done".equals(d.poll("run-000012"))) {
                return null;
            }
        }
        throw new Deployment.CannotRun("there was too little time to tell");
    }

    private static void await(Deployment d, String task) throws Exception {
        if (!d.awaitTask(task, 15_000)) {
            throw new Deployment.CannotRun(task + " did not start");
        }
    }
}
