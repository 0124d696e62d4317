package review2;

import java.util.List;

/** A cheap machine is taken back; its job waits for another cheap one beside an ordinary machine that has room. */
final class CheapOnly {
    private CheapOnly() {}

    public static void main(String[] args) {
        Deployment.main(args[0], Deployment.KIGALI, CheapOnly::run);
    }

    private static String run(Deployment d, boolean trouble) throws Exception {
        // Four cheap machines and an ordinary one are up at the start; the cloud has no further capacity.
        for (int i = 0; i < 4; i++) {
            d.cloud.addRunning(d.site.zones().get(1), true);
        }
        d.cloud.addRunning(d.site.zones().get(0), false);
        // Work that may not use cheap machines keeps the ordinary one; work that may fills three of the cheap ones.
        var onlyOrdinary = Jobs.submission("run-000001", "ledger-desk", 1, 1, 1.8, 140);
        onlyOrdinary.put("borrowed", false);
        d.submit(new Jobs.Job(onlyOrdinary, 140, false));
        d.submit(new Jobs.Job(Jobs.submission("run-000002", "ledger-desk", 3, 8, 14.4, 140), 140, false));
        for (String task : List.of("run-000001/0", "run-000002/0", "run-000002/1", "run-000002/2")) {
            await(d, task);
        }
        String id = "run-000021";
        d.submit(new Jobs.Job(Jobs.submission(id, "ledger-desk", 4, 1, 1.8, 40), 40, false));
        for (int i = 0; i < 4; i++) {
            await(d, id + "/" + i);
        }
        Worker used = d.cloud.workers().stream()
                .filter(worker -> worker.name.equals(d.machineOf(id + "/3")))
                .findFirst()
                .orElseThrow();
        if (!used.spot) {
            throw new Deployment.CannotRun(id + " did not start on a cheap machine");
        }
        if (trouble) {
            d.cloud.lose(used, true);
            Rec.log("the troubles are over");
        }
        while (Rec.ms() < 112_000) {
            Thread.sleep(250);
            long waitedMs = d.waitingMs(id);
            if (waitedMs > Deployment.MAX_WAIT_MS) {
                d.poll(id);
                return id + " was left waiting for " + waitedMs / 1000.0 + " s while a machine that fits had room";
            }
            if (Rec.ms() % 5000 < 250 && "done".equals(d.poll(id))) {
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
