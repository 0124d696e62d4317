package notchpick.coordination.userapi;

import java.util.Optional;

/**
 * The resource and the job that the path of a user's request refers to.
 *
 * @param jobId the job id in the path, not validated; empty for {@link Resource#SUBMISSIONS}
 */
record UserRoute(Resource resource, String jobId) {
    /** The resources served to users, each with its only HTTP method. */
    enum Resource {
        /** {@code /submissions}: accepts submissions. */
        SUBMISSIONS("POST"),
        /** {@code /submissions/ID}: the status of a job. */
        JOB("GET"),
        /** {@code /submissions/ID/abort}: cancels a job. */
        CANCELLATION("POST");

        private final String method;

        Resource(String method) {
            this.method = method;
        }

        String method() {
            return method;
        }
    }

    private static final String SUBMISSIONS = "submissions";
    private static final String ABORT = "abort";
    /** Numbers of parts into which slashes divide a path, including the empty part before the first slash. */
    private static final int SUBMISSIONS_PARTS = 2;

    private static final int JOB_PARTS = 3;
    private static final int CANCELLATION_PARTS = 4;

    /** Parses a path, ignoring its query; empty if nothing is served there. */
    static Optional<UserRoute> parse(String pathAndQuery) {
        String path = pathAndQuery.split("\\?", 2)[0];
        String[] parts = path.split("/", -1);
        if (parts.length < SUBMISSIONS_PARTS || !parts[1].equals(SUBMISSIONS)) {
            return Optional.empty();
        }
        return switch (parts.length) {
            case SUBMISSIONS_PARTS -> Optional.of(new UserRoute(Resource.SUBMISSIONS, ""));
            case JOB_PARTS -> Optional.of(new UserRoute(Resource.JOB, parts[2]));
            case CANCELLATION_PARTS ->
                parts[JOB_PARTS].equals(ABORT)
                        ? Optional.of(new UserRoute(Resource.CANCELLATION, parts[2]))
                        : Optional.empty();
            default -> Optional.empty();
        };
    }
}
