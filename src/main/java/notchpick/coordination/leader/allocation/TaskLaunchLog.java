package notchpick.coordination.leader.allocation;

import java.util.ArrayList;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records durably which tasks may be on which machines. A launch command is sent only once its record is durable. */
public final class TaskLaunchLog {
    /** Is notified of the outcome of recorded launches. */
    public interface Listener {
        /** Launch records of the machine have become durable, so that the launch commands may be sent. */
        void launchesRecorded(Machine machine);

        /** Launches were not recorded because these jobs have ended. */
        void jobsFoundEnded(List<String> jobs);
    }

    private static final Logger LOG = LoggerFactory.getLogger(TaskLaunchLog.class);

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
                this::handleRecorded);
        records.setPreconditions(assignments -> new Preconditions(openJobVersions(assignments), this::reportEndedJobs));
    }

    /**
     * The versions of the descriptions of the jobs whose launches are to be recorded, by key. A cancellation deletes
     * the description. As the write requires these versions, a launch becomes durable, and its command is sent, only if
     * it was committed before the job's cancellation, however late the leader reads the cancellation.
     */
    private Map<String, Long> openJobVersions(List<TaskAssignment> assignments) {
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

    private void reportEndedJobs(List<String> descriptionKeys) {
        listener.jobsFoundEnded(
                descriptionKeys.stream().map(key -> StateKeys.openJobId(key)).toList());
    }

    /**
     * Loads the launch records of a former leader. Until workers report, these tasks count as being on their machines
     * and are not launched again.
     */
    public void load(Listing listing) {
        List<TaskAssignment> inherited = new ArrayList<>();
        for (Entry entry : listing.entries()) {
            writer.recordVersion(entry.key(), entry.version());
            Set<TaskAssignment> loaded = new LinkedHashSet<>();
            for (LaunchRecord launch : LaunchRecordCodec.decode(entry.value())) {
                Machine machine = cluster.machineOrAdd(launch.machine(), name -> readyMachine(launch));
                machine.markFormerLeaderLaunches();
                Job job = cluster.job(launch.job().id());
                if (canBeOnMachine(job, launch.task())) {
                    JobSpec spec = job == null ? launch.job() : job.spec();
                    loaded.add(cluster.assign(spec, launch.task(), machine, launch.attempt(), Phase.INHERITED));
                }
            }
            records.load(entry.key(), loaded);
            inherited.addAll(loaded);
        }
        logInherited(listing, inherited);
    }

    private void logInherited(Listing listing, List<TaskAssignment> inherited) {
        LOG.info(
                "launches inherited: term={} revision={} pages={} tasks={}",
                context.term(),
                listing.revision(),
                listing.entries().size(),
                inherited.size());
        inherited.stream()
                .map(TaskAssignment::spec)
                .filter(JobSpec::hasZoneConstraint)
                .map(JobSpec::id)
                .distinct()
                .forEach(id -> LOG.info(
                        "launches inherited: term={} job={} tasksByZone={}",
                        context.term(),
                        id,
                        cluster.tasksByZone(id)));
    }

    /**
     * Whether a recorded task holds its place. A completed task may have a second attempt that has not started yet; it
     * must still be counted if the zones of the job's tasks matter.
     */
    private static boolean canBeOnMachine(Job job, int task) {
        return job == null || !job.isTaskDone(task) || job.spec().hasZoneConstraint();
    }

    private Machine readyMachine(LaunchRecord launch) {
        long nowMs = context.nowMs();
        Machine machine = new Machine(
                launch.machine(),
                launch.pool(),
                context.machineTypes().size(launch.pool().type()),
                nowMs);
        machine.markReady(nowMs);
        return machine;
    }

    /** Makes the launch durable; {@link Listener#launchesRecorded} follows. */
    public void record(TaskAssignment assignment) {
        records.save(assignment);
    }

    /** Removes the record of a task that is certainly no longer on its machine. */
    public void drop(TaskAssignment assignment) {
        records.remove(assignment);
    }

    /** Rewrites the stored value in which removed records take up the most space. */
    public void compact() {
        records.compact();
    }

    private void handleRecorded(List<TaskAssignment> durable) {
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
