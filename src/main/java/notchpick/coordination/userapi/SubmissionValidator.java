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

/** Checks a submission without its dependencies: fields, size, the team's quota, and whether a machine type fits. */
final class SubmissionValidator {
    private final Deployment deployment;
    /** Null until the machine types have been loaded. */
    private List<MachineType> machineTypes;

    SubmissionValidator(Deployment deployment) {
        this.deployment = deployment;
    }

    void setMachineTypes(List<MachineType> types) {
        machineTypes = types;
    }

    /** Whether the machine types have been loaded; no submission can be checked without them. */
    boolean isReady() {
        return machineTypes != null;
    }

    /**
     * Parses and checks a submission.
     *
     * @param receivedAtMs the wall-clock time at which the submission was received
     * @throws SubmissionRejectedException if the submission can't be accepted
     */
    JobSpec validate(ObjectNode body, long receivedAtMs) throws SubmissionRejectedException {
        JobSpec spec;
        try {
            spec = UserProtocol.submission(body, receivedAtMs);
        } catch (InvalidMessageException e) {
            throw new SubmissionRejectedException(Reason.MALFORMED, e.getMessage());
        }
        if (!isReady()) {
            throw new SubmissionRejectedException(Reason.NOT_READY, "the machine types have not been loaded yet");
        }
        if (JobSpecCodec.maxBytes(spec) > deployment.maxValueBytes()) {
            throw new SubmissionRejectedException(
                    Reason.MALFORMED,
                    "class, team, image, machine types and dependencies are too long: a job may take at most "
                            + deployment.maxValueBytes() + " bytes");
        }
        checkQuota(spec);
        checkMachineTypes(spec);
        return spec;
    }

    private void checkQuota(JobSpec spec) throws SubmissionRejectedException {
        Deployment.Quota quota = deployment.quota(spec.team());
        if (quota == null) {
            throw new SubmissionRejectedException(
                    Reason.INFEASIBLE, "unknown team: must be one of this deployment's teams");
        }
        // A service runs all its tasks at the same time; the tasks of other jobs can run one after the other.
        if (!quota.allows(spec.demand().times(spec.isService() ? spec.tasks() : 1))) {
            throw new SubmissionRejectedException(
                    Reason.INFEASIBLE, "the job needs more resources than the team's limit allows");
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
        throw new SubmissionRejectedException(
                Reason.INFEASIBLE, "no allowed machine type fits a task and is offered in the required zone");
    }
}
