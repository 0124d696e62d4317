package review2;

/** A team within its guarantee loses a machine, and waits for a team without any guarantee that never gives back. */
final class GuaranteeWaits {
    /** Six times the aim of 15 s for work within a guarantee. */
    private static final long MAX_WAIT_MS = 90_000;

    private GuaranteeWaits() {}

    public static void main(String[] args) {
        Deployment.main(args[0], Deployment.MOMBASA_OPS, GuaranteeWaits::run);
    }

    private static String run(Deployment d, boolean trouble) throws Exception {
        Worker first = d.cloud.addRunning(d.site.zones().get(0), false);
        Worker second = d.cloud.addRunning(d.site.zones().get(1), false);
        // The guest team's service takes one of the two machines; the cloud has no further capacity.
        var service = Jobs.submission("run-000001", "uni-lab", 4, 2, 3, 0);
        service.put("jobForm", "service").put("urgency", "idle").put("borrowed", false).put("site", second.zone);
        d.submit(new Jobs.Job(service, 0, false));
        var guaranteed = Jobs.submission("run-000002", "routes-desk", 4, 2, 3, 30);
        guaranteed.put("urgency", "high").put("dueS", 100.0);
        for (int i = 0; i < 4; i++) {
            if (!d.awaitTask("run-000001/" + i, 15_000)) {
                throw new Deployment.CannotRun("the service did not start");
            }
        }
        d.submit(new Jobs.Job(guaranteed, 30, false));
        for (int i = 0; i < 4; i++) {
            if (!d.awaitTask("run-000002/" + i, 15_000)) {
                throw new Deployment.CannotRun("the guaranteed work did not start");
            }
        }
        if (trouble) {
            d.cloud.lose(first, false);
        }
        long sinceMs = Rec.ms();
        while (Rec.ms() < 112_000) {
            Thread.sleep(250);
            if (Rec.ms() % 5000 < 250 && "done".equals(d.poll("run-000002"))) {
                return null;
            }
            if (Rec.ms() - sinceMs > MAX_WAIT_MS && d.machineOf("run-000002/0") == null) {
                Rec.log("truth: %s holds %s of the team without a guarantee", second.name, second.live());
                return "run-000002, within its team's guarantee, has waited 90 s for a team that has none";
            }
        }
        throw new Deployment.CannotRun("there was too little time to tell");
    }
}
