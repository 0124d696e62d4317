package notchpick.app;

import java.util.List;
import java.util.Optional;
import notchpick.coordination.leader.Leader;
import notchpick.coordination.leader.LeaderEnvironment;
import notchpick.coordination.membership.ElectedTerm;
import notchpick.coordination.membership.LeaderElection;
import notchpick.scheduling.MachineType;

/** Creates a {@link Leader} for each term that this controller is elected for, and holds it until the term ends. */
final class LocalLeader implements LeaderElection.Listener {
    private final LeaderEnvironment environment;
    private final Leader.StepDownHandler stepDownHandler;
    /** Null while this controller does not lead. */
    private Leader leader;
    /** Null until the machine types have been loaded. */
    private List<MachineType> machineTypes;

    LocalLeader(LeaderEnvironment environment, Leader.StepDownHandler stepDownHandler) {
        this.environment = environment;
        this.stepDownHandler = stepDownHandler;
    }

    /** The leader of the current term; empty if this controller does not lead. */
    Optional<Leader> current() {
        return Optional.ofNullable(leader);
    }

    /** Passes the machine types to the current leader, and to the leaders of later terms when they begin. */
    void setMachineTypes(List<MachineType> types) {
        machineTypes = types;
        if (leader != null) {
            leader.tell(new Leader.MachineTypesUpdated(types));
        }
    }

    @Override
    public void elected(ElectedTerm term) {
        leader = new Leader(environment, term, stepDownHandler);
        if (machineTypes != null) {
            leader.tell(new Leader.MachineTypesUpdated(machineTypes));
        }
    }

    @Override
    public void leaseRenewed(long leaseUntilMs) {
        leader.tell(new Leader.LeaseRenewed(leaseUntilMs));
    }

    @Override
    public void deposed() {
        leader.tell(new Leader.TermEnded());
        leader = null;
    }
}
