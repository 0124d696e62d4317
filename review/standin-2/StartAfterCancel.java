package review2;

import java.util.List;

/** A job is cancelled just after its leader was cut off from the state service and its peers; the leader starts it. */
final class StartAfterCancel {
    private StartAfterCancel() {}

    public static void main(String[] args) {
        Deployment.main(args[0], Deployment.KIGALI, StartAfterCancel::run);
    }

    private static String run(Deployment d, boolean trouble) throws Exception {
        for (int i = 0; i < 16; i++) {
            d.cloud.addRunning(d.site.zones().get(i % 2), true);
        }
        // Every machine has reported by then.
        Thread.sleep(5000);
        String broken = null;
        for (int round = 0; round < 2 && broken == null; round++) {
            broken = round(d, trouble, String.format("run-%06d", 1 + round));
        }
        return broken;
    }

    private static String round(Deployment d, boolean trouble, String id) throws Exception {
        String leader = d.state.leader();
        if (leader == null) {
            throw new Deployment.CannotRun("no leader");
        }
        List<String> others = d.userAddresses.keySet().stream().filter(node -> !node.equals(leader)).toList();
        Jobs.Job job = new Jobs.Job(Jobs.submission(id, "ledger-desk", 32, 4, 6, 60), 60, false);
        d.submitAt(job, others.get(0));
        long untilMs = Rec.ms() + 5000;
        while (!d.state.hasLaunchOf(id)) {
            if (Rec.ms() > untilMs) {
                throw new Deployment.CannotRun("no launch was recorded");
            }
            Thread.sleep(1);
        }
        if (trouble) {
            Rec.log("%s leads", leader);
            d.cutFromStateAndPeers(leader, true);
        }
        d.cancelAt(id, others.get(1));
        long toldMs = Rec.ms();
        Thread.sleep(6000);
        if (trouble) {
            d.cutFromStateAndPeers(leader, false);
        }
        int late = d.startedByOrdersAfter(id, toldMs);
        Rec.log("truth: answers to reports that were sent after the user was told ordered %d tasks of %s, and started %d",
                d.runsOrderedAfter(id, toldMs), id, late);
        return late == 0 ? null : late + " tasks of " + id + " were started by answers to reports sent after its user was"
                + " told that it is cancelled";
    }
}
