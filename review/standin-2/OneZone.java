package review2;

/** A service bound to one zone loses a machine; the machine rented in its place is in the other zone, for good. */
final class OneZone {
    /** How long a replica may be missing here; the cloud has machines in the right zone all the time. */
    private static final long MAX_MISSING_MS = 90_000;

    private OneZone() {}

    public static void main(String[] args) {
        Deployment.main(args[0], Deployment.KIGALI, OneZone::run);
    }

    private static String run(Deployment d, boolean trouble) throws Exception {
        String zone = d.site.zones().get(0);
        d.cloud.addRunning(zone, true);
        d.cloud.addRunning(zone, true);
        d.cloud.setCapacity(zone, true, 6);
        d.cloud.setCapacity(d.site.zones().get(1), true, 6);
        String id = "run-000001";
        var body = Jobs.submission(id, "ledger-desk", 2, 5, 9, 0);
        body.put("jobForm", "service");
        body.put("oneZone", true);
        d.submit(new Jobs.Job(body, 0, false));
        for (int i = 0; i < 2; i++) {
            if (!d.awaitTask(id + "/" + i, 15_000)) {
                throw new Deployment.CannotRun("a replica did not start");
            }
        }
        Worker lost = d.cloud.workers().stream()
                .filter(worker -> worker.name.equals(d.machineOf(id + "/1")))
                .findFirst()
                .orElseThrow();
        if (trouble) {
            d.cloud.lose(lost, false);
        }
        long missingSinceMs = -1;
        while (Rec.ms() < 112_000) {
            Thread.sleep(250);
            if (Rec.ms() % 5000 < 250) {
                d.poll(id);
            }
            if (d.machineOf(id + "/0") != null && d.machineOf(id + "/1") != null) {
                missingSinceMs = -1;
            } else if (missingSinceMs < 0) {
                missingSinceMs = Rec.ms();
                Rec.log("truth: a replica of %s is on no machine", id);
            } else if (Rec.ms() - missingSinceMs > MAX_MISSING_MS) {
                for (Worker worker : d.cloud.workers()) {
                    Rec.log("truth: %s in %s holds %s", worker.name, worker.zone, worker.live());
                }
                return "a replica of " + id + " has been on no machine for " + MAX_MISSING_MS / 1000 + " s";
            }
        }
        return null;
    }
}
