package notchpick.simulation;

import java.util.List;
import notchpick.coordination.Deployment.Quota;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;

/**
 * What a simulated cluster consists of.
 *
 * @param controllers the number of controllers
 * @param requestsPerS requests that the state store accepts in a second
 * @param limits what the state store accepts at first
 * @param announcedLimits what it will accept from some moment of the test on
 * @param limitsAnnouncedAtRestart whether a controller reads the announced limits only when it is restarted, as in a
 *     rolling upgrade; otherwise it keeps to them from its first start
 */
public record ClusterConfig(
        int controllers,
        List<Quota> teams,
        List<MachineType> machineTypes,
        WorkerTiming timing,
        double requestsPerS,
        StateStoreLimits limits,
        StateStoreLimits announcedLimits,
        boolean limitsAnnouncedAtRestart) {
    static final List<String> ZONES = List.of("east", "west");

    /** Three controllers, one team without a quota and one machine type. */
    public static Builder builder() {
        return new Builder();
    }

    /** A type of machine with 8 cores and 64 GB, which both zones offer. */
    public static MachineType machineType(String name, double bootS) {
        return machineType(name, new Resources(8, 0, 64), bootS);
    }

    /** A type of machine that both zones offer. */
    public static MachineType machineType(String name, Resources size, double bootS) {
        return new MachineType(name, size, 100, 1, 1, 0.3, bootS, ZONES);
    }

    /** Makes configurations; each setter takes what the component of the same name stands for. */
    public static final class Builder {
        private int controllers = 3;
        private List<Quota> teams = List.of(new Quota("a", Resources.NONE, Resources.NONE));
        private List<MachineType> machineTypes = List.of(machineType("m8", 10));
        private WorkerTiming timing = WorkerTiming.DEFAULT;
        private double requestsPerS = 300;
        private double writesPerS = 100;
        private StateStoreLimits announcedLimits;
        private boolean limitsAnnouncedAtRestart;

        private Builder() {}

        /** The number of controllers. */
        public Builder controllers(int value) {
            controllers = value;
            return this;
        }

        /** The teams with their quotas. */
        public Builder teams(List<Quota> value) {
            teams = value;
            return this;
        }

        /** The types of machines that the cloud rents out. */
        public Builder machineTypes(List<MachineType> value) {
            machineTypes = value;
            return this;
        }

        /** The periods that workers keep to. */
        public Builder timing(WorkerTiming value) {
            timing = value;
            return this;
        }

        /** Requests that the state store accepts in a second. */
        public Builder requestsPerS(double value) {
            requestsPerS = value;
            return this;
        }

        /** Puts and deletes that the state store accepts in a second at first. */
        public Builder writesPerS(double value) {
            writesPerS = value;
            return this;
        }

        /** Limits that will hold from some moment on, and whether controllers read them only at a restart. */
        public Builder announcedLimits(StateStoreLimits value, boolean atRestart) {
            announcedLimits = value;
            limitsAnnouncedAtRestart = atRestart;
            return this;
        }

        /** The configuration; without announced limits the present ones stay. */
        public ClusterConfig build() {
            StateStoreLimits limits = StateStoreLimits.withRate(writesPerS);
            return new ClusterConfig(
                    controllers,
                    teams,
                    machineTypes,
                    timing,
                    requestsPerS,
                    limits,
                    announcedLimits == null ? limits : announcedLimits,
                    limitsAnnouncedAtRestart);
        }
    }
}
