package notchpick.simulation;

/** One attempt at a task on a machine. */
final class WorkerTask {
    /** The states of an attempt, with the words that workers send for them. */
    enum State {
        FETCHING("fetching"),
        RUNNING("running"),
        SAVING("saving"),
        EXITED("exited");

        private final String wireWord;

        State(String wireWord) {
            this.wireWord = wireWord;
        }

        String wireWord() {
            return wireWord;
        }
    }

    private final String name;
    private final long attempt;
    private State state = State.FETCHING;
    private String exitCause;
    private long startedAtMs;

    WorkerTask(String name, long attempt) {
        this.name = name;
        this.attempt = attempt;
    }

    String name() {
        return name;
    }

    String job() {
        return InvariantChecker.jobOf(name);
    }

    long attempt() {
        return attempt;
    }

    State state() {
        return state;
    }

    /** The word for how it ended; null as long as it has not. */
    String exitCause() {
        return exitCause;
    }

    long startedAtMs() {
        return startedAtMs;
    }

    boolean hasExited() {
        return state == State.EXITED;
    }

    /** Whether it has begun to run and has not exited. */
    boolean isOnMachine() {
        return state == State.RUNNING || state == State.SAVING;
    }

    /** The image has been fetched and the task runs. */
    void start(long nowMs) {
        state = State.RUNNING;
        startedAtMs = nowMs;
    }

    void startSaving() {
        state = State.SAVING;
    }

    /** The attempt has ended, with the word that workers send for the cause. */
    void exit(String cause) {
        state = State.EXITED;
        exitCause = cause;
    }
}
