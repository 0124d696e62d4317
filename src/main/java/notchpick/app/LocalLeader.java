package notchpick.app;

import java.util.List;
import java.util.Optional;
import notchpick.coordination.leader.Leader;
import notchpick.coordination.leader.LeaderEnvironment;
import notchpick.coordination.membership.ElectedTerm;
import notchpick.coordination.membership.LeaderElection;
import notchpick.scheduling.MachineType;

/** The leader at this controller: one for each term to which it is elected, none in between. */
final class LocalLeader implements LeaderElection.Listener {
    private final LeaderEnvironment environment;
    private final Leader.StepDownHandler stepDownHandler;
    private Leader leader;
    private List<MachineType> machineTypes;

    LocalLeader(LeaderEnvironment environment, Leader.StepDownHandler stepDownHandler) {
        this.environment = environment;
        this.stepDownHandler = stepDownHandler;
    }

    /** The leader of the current term; empty unless this controller is elected. */
    Optional<Leader> current() {
        return Optional.ofNullable(leader);
    }

    /** Passes the machine types on to this leader, and to the ones of later terms when they begin. */
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
