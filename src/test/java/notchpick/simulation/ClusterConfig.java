package notchpick.simulation;

import java.util.List;
import notchpick.coordination.Deployment.Quota;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;

/**
 * The configuration of a simulated cluster.
 *
 * @param controllers the number of controllers
 * @param requestsPerS requests that the state store accepts per second
 * @param limits the limits that the state store enforces at first
 * @param announcedLimits the limits enforced after {@link SimulatedCluster#enforceAnnouncedLimits}
 * @param limitsAnnouncedAtRestart whether a controller applies the announced limits only after a restart, as in a
 *     rolling upgrade; otherwise from its first start
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

    /** Creates a builder with the defaults: three controllers, one team without a quota and one machine type. */
    public static Builder builder() {
        return new Builder();
    }

    /** A machine type with 8 cores and 64 GB, available in both zones. */
    public static MachineType machineType(String name, double bootS) {
        return machineType(name, new Resources(8, 0, 64), bootS);
    }

    /** A machine type that is available in both zones. */
    public static MachineType machineType(String name, Resources size, double bootS) {
        return new MachineType(name, size, 100, 1, 1, 0.3, bootS, ZONES);
    }

    /** Builds configurations; the setters correspond to the record components of the same names. */
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

        /** The machine types that the cloud offers. */
        public Builder machineTypes(List<MachineType> value) {
            machineTypes = value;
            return this;
        }

        /** The timing of the worker protocol. */
        public Builder timing(WorkerTiming value) {
            timing = value;
            return this;
        }

        /** Requests that the state store accepts per second. */
        public Builder requestsPerS(double value) {
            requestsPerS = value;
            return this;
        }

        /** Puts and deletes that the state store accepts per second at first. */
        public Builder writesPerS(double value) {
            writesPerS = value;
            return this;
        }

        /** The announced limits, and whether controllers apply them only after a restart. */
        public Builder announcedLimits(StateStoreLimits value, boolean atRestart) {
            announcedLimits = value;
            limitsAnnouncedAtRestart = atRestart;
            return this;
        }

        /** The configuration; the announced limits default to the initial ones. */
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
