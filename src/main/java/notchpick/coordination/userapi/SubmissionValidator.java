package notchpick.coordination.userapi;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import notchpick.coordination.Deployment;
import notchpick.coordination.userapi.SubmissionRejectedException.Reason;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.UserProtocol;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.MachineType;
import notchpick.storage.JobSpecCodec;

/** Checks a submission by itself: its form, its size, the team's limit, and whether any machine type can run it. */
final class SubmissionValidator {
    private final Deployment deployment;
    private List<MachineType> machineTypes;

    SubmissionValidator(Deployment deployment) {
        this.deployment = deployment;
    }

    void setMachineTypes(List<MachineType> types) {
        machineTypes = types;
    }

    /** Whether the machine types are known, without which no submission can be judged. */
    boolean isReady() {
        return machineTypes != null;
    }

    /**
     * Parses and checks a submission.
     *
     * @param receivedAt when it was received, by the time of day in milliseconds
     * @throws SubmissionRejectedException if it can't be accepted
     */
    JobSpec validate(ObjectNode body, long receivedAt) throws SubmissionRejectedException {
        JobSpec spec;
        try {
            spec = UserProtocol.submission(body, receivedAt);
        } catch (InvalidMessageException e) {
            throw new SubmissionRejectedException(Reason.MALFORMED, e.getMessage());
        }
        if (!isReady()) {
            throw new SubmissionRejectedException(Reason.NOT_READY, "the machine types are not known yet");
        }
        if (JobSpecCodec.maxBytes(spec) > deployment.maxValueBytes()) {
            throw new SubmissionRejectedException(
                    Reason.MALFORMED,
                    "class, team, image, types and the jobs that it waits on are too long: a description may take "
                            + deployment.maxValueBytes() + " bytes");
        }
        checkQuota(spec);
        checkMachineTypes(spec);
        return spec;
    }

    private void checkQuota(JobSpec spec) throws SubmissionRejectedException {
        Deployment.Quota quota = deployment.quota(spec.team());
        if (quota == null) {
            throw new SubmissionRejectedException(Reason.INFEASIBLE, "unknown team");
        }
        // A service runs all its tasks together; other jobs can run one after the other.
        if (!quota.allows(spec.demand().times(spec.isService() ? spec.tasks() : 1))) {
            throw new SubmissionRejectedException(Reason.INFEASIBLE, "more than the team's limit");
        }
    }

    private void checkMachineTypes(JobSpec spec) throws SubmissionRejectedException {
        for (MachineType type : machineTypes) {
            if (spec.allowsType(type.name())
                    && spec.demand().fitsIn(type.size())
                    && (spec.zone() == null || type.zones().contains(spec.zone()))) {
                return;
            }
        }
        throw new SubmissionRejectedException(Reason.INFEASIBLE, "a task fits no allowed machine type");
    }
}
