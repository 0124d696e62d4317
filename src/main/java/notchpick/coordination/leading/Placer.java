package notchpick.coordination.leading;

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
import notchpick.scheduling.Amounts;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Place;
import notchpick.scheduling.SiteIndex;

/** Places the tasks of a team within the room leased to the controller that holds the team's jobs. */
public final class Placer {
    private Placer() {}

    private static final class LeasedRoom implements Place {
        private final Room room;
        private final Set<String> images;
        private Amounts left;

        LeasedRoom(Room room) {
            this.room = room;
            this.images = Set.copyOf(room.getImages());
            this.left = new Amounts(room.getCores(), room.getGpus(), room.getRam());
        }

        @Override
        public String type() {
            return room.getType();
        }

        @Override
        public String zone() {
            return room.getZone();
        }

        @Override
        public boolean spot() {
            return room.getSpot();
        }

        @Override
        public Amounts room() {
            return left;
        }

        @Override
        public Set<String> images() {
            return images;
        }
    }

    /** Places the tasks of a grant on the machines whose resources it leases. */
    public static Placements place(Grant grant, String node) {
        List<LeasedRoom> rooms = new ArrayList<>();
        grant.getRooms().forEach(room -> rooms.add(new LeasedRoom(room)));
        SiteIndex<LeasedRoom> index = new SiteIndex<>(rooms);
        List<Placed> placed = new ArrayList<>();
        for (Want want : grant.getWants()) {
            Amounts demand = new Amounts(want.getCores(), want.getGpus(), want.getRam());
            JobSpec spec = new JobSpec(
                    want.getJob(),
                    "",
                    grant.getTeam(),
                    JobSpec.Form.ARRAY,
                    JobSpec.Priority.NORMAL,
                    want.getTasks().size(),
                    demand,
                    want.getTypes(),
                    want.getZone(),
                    false,
                    false,
                    want.getSpot(),
                    want.getImage(),
                    0,
                    0,
                    0,
                    0,
                    null,
                    0);
            Map<String, Integer> zoneRoom = new HashMap<>(want.getZoneRoom());
            for (int task : want.getTasks()) {
                LeasedRoom room = index.choose(spec, r -> zoneRoom.getOrDefault(r.zone(), 1) > 0);
                if (room == null) {
                    break;
                }
                index.change(room, () -> room.left = room.left.minus(demand));
                zoneRoom.computeIfPresent(room.zone(), (zone, left) -> left - 1);
                placed.add(new Placed(want.getJob(), task, room.room.getMachine()));
            }
        }
        return new Placements(grant.getTerm(), grant.getLease(), node, placed);
    }
}
