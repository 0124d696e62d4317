package notchpick.coordination.leader.allocation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.Placed;
import notchpick.protocol.peer.Placements;
import notchpick.protocol.peer.Room;
import notchpick.protocol.peer.Want;
import notchpick.scheduling.CandidateNode;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.PlacementIndex;
import notchpick.scheduling.Resources;

/** Places the tasks of a team on the machines whose resources are leased to this controller. */
public final class TaskPlacer {
    private TaskPlacer() {}

    private static final class LeasedMachine implements CandidateNode {
        private final Room leased;
        private final Set<String> images;
        private Resources free;

        LeasedMachine(Room leased) {
            this.leased = leased;
            this.images = Set.copyOf(leased.getImages());
            this.free = new Resources(leased.getCores(), leased.getGpus(), leased.getRam());
        }

        @Override
        public String type() {
            return leased.getType();
        }

        @Override
        public String zone() {
            return leased.getZone();
        }

        @Override
        public boolean isSpot() {
            return leased.getSpot();
        }

        @Override
        public Resources freeResources() {
            return free;
        }

        @Override
        public Set<String> images() {
            return images;
        }
    }

    /**
     * Places the tasks of a grant on the machines whose resources it leases; tasks that do not fit are left out.
     *
     * @param node the name of this controller
     */
    public static Placements place(Grant grant, String node) {
        List<LeasedMachine> machines = new ArrayList<>();
        grant.getRooms().forEach(room -> machines.add(new LeasedMachine(room)));
        PlacementIndex<LeasedMachine> index = new PlacementIndex<>(machines);
        List<Placed> placed = new ArrayList<>();
        grant.getWants().forEach(tasks -> place(grant.getTeam(), tasks, index, placed));
        return new Placements(grant.getTerm(), grant.getLease(), node, placed);
    }

    private static void place(String team, Want tasks, PlacementIndex<LeasedMachine> index, List<Placed> placed) {
        JobSpec spec = spec(team, tasks);
        Map<String, Integer> remainingByZone = new HashMap<>(tasks.getZoneRoom());
        for (int task : tasks.getTasks()) {
            LeasedMachine machine = index.choose(spec, m -> remainingByZone.getOrDefault(m.zone(), 1) > 0);
            if (machine == null) {
                return;
            }
            index.update(machine, () -> machine.free = machine.free.minus(spec.demand()));
            remainingByZone.computeIfPresent(machine.zone(), (zone, remaining) -> remaining - 1);
            placed.add(new Placed(tasks.getJob(), task, machine.leased.getMachine()));
        }
    }

    /** The part of the job's specification that placement depends on. */
    private static JobSpec spec(String team, Want tasks) {
        return JobSpec.builder(tasks.getJob())
                .team(team)
                .tasks(tasks.getTasks().size())
                .demand(new Resources(tasks.getCores(), tasks.getGpus(), tasks.getRam()))
                .types(tasks.getTypes())
                .zone(tasks.getZone())
                .spot(tasks.getSpot())
                .image(tasks.getImage())
                .build();
    }
}
