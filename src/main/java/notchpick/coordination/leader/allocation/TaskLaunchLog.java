package notchpick.coordination.leader.allocation;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.coordination.Deployment;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.model.TaskAssignment.Phase;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Listing;
import notchpick.scheduling.JobSpec;
import notchpick.storage.FencedWriter;
import notchpick.storage.LaunchRecord;
import notchpick.storage.LaunchRecordCodec;
import notchpick.storage.PackedRecords;
import notchpick.storage.Preconditions;
import notchpick.storage.StateKeys;

/** Keeps durable which tasks may be on which machines; a launch command goes out only once its record is. */
public final class TaskLaunchLog {
    /** Is notified of the outcome of recorded launches. */
    public interface Listener {
        /** Launches on the machine have become durable, so that their commands may be sent. */
        void launchesRecorded(Machine machine);

        /** These jobs turned out to have ended when tasks of them were to be launched. */
        void jobsFoundEnded(List<String> jobs);
    }

    private final TermContext context;
    private final ClusterState cluster;
    private final FencedWriter writer;
    private final Listener listener;
    private final PackedRecords<TaskAssignment> records;

    public TaskLaunchLog(TermContext context, FencedWriter writer, Listener listener) {
        this.context = context;
        this.cluster = context.cluster();
        this.writer = writer;
        this.listener = listener;
        Deployment deployment = context.deployment();
        this.records = new PackedRecords<>(
                writer,
                StateKeys.LAUNCHES,
                new PackedRecords.Encoding<>(LaunchRecordCodec::maxBytes, LaunchRecordCodec::encode),
                PackedRecords.Packing.WORST_FIT,
                deployment.maxValueBytes(),
                deployment.maxTransactionWrites(),
                this::recorded);
        records.setPreconditions(assignments -> new Preconditions(openJobs(assignments), this::jobsEnded));
    }

    /**
     * The descriptions of the jobs of which tasks are to be launched, which a cancellation deletes. A launch can so
     * become durable, and its command go out, only if that was committed before the job's cancellation was, however
     * late the leader hears of it.
     */
    private Map<String, Long> openJobs(List<TaskAssignment> assignments) {
        Map<String, Long> versions = new HashMap<>();
        for (TaskAssignment assignment : assignments) {
            String id = assignment.spec().id();
            Job job = cluster.job(id);
            if (assignment.phase() == Phase.PLANNED && job != null) {
                versions.put(StateKeys.OPEN_JOBS + id, job.version());
            }
        }
        return versions;
    }

    private void jobsEnded(List<String> descriptionKeys) {
        listener.jobsFoundEnded(
                descriptionKeys.stream().map(key -> StateKeys.openJobId(key)).toList());
    }

    /** Takes in the launches of a former leader: these tasks are not launched anew, and count, until workers report. */
    public void load(Listing listing) {
        for (Entry entry : listing.entries()) {
            writer.recordVersion(entry.key(), entry.version());
            Set<TaskAssignment> loaded = new LinkedHashSet<>();
            for (LaunchRecord launch : LaunchRecordCodec.decode(entry.value())) {
                Machine machine = cluster.machineOrAdd(launch.machine(), name -> readyMachine(launch));
                machine.markFormerLeaderLaunches();
                Job job = cluster.job(launch.job().id());
                if (job == null || !job.isTaskDone(launch.task())) {
                    JobSpec spec = job == null ? launch.job() : job.spec();
                    loaded.add(cluster.assign(spec, launch.task(), machine, launch.attempt(), Phase.INHERITED));
                }
            }
            records.load(entry.key(), loaded);
        }
    }

    private Machine readyMachine(LaunchRecord launch) {
        long now = context.nowMs();
        Machine machine = new Machine(
                launch.machine(),
                launch.pool(),
                context.machineTypes().size(launch.pool().type()),
                now);
        machine.markReady(now);
        return machine;
    }

    /** Records the launch. */
    public void record(TaskAssignment assignment) {
        records.save(assignment);
    }

    /** The task surely is not on its machine any more. */
    public void drop(TaskAssignment assignment) {
        records.remove(assignment);
    }

    /** Rewrites the value that holds most of what has ended. */
    public void compact() {
        records.compact();
    }

    private void recorded(List<TaskAssignment> durable) {
        Set<Machine> machines = new LinkedHashSet<>();
        for (TaskAssignment assignment : durable) {
            Machine machine = assignment.machine();
            if (assignment.phase() == Phase.PLANNED && machine.hasAssignment(assignment)) {
                assignment.markLaunchDurable();
                machines.add(machine);
            }
        }
        machines.forEach(listener::launchesRecorded);
    }
}
