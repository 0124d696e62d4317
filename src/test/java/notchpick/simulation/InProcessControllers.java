package notchpick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import notchpick.app.Controller;
import notchpick.coordination.Tuning;
import notchpick.coordination.leader.term.LaunchCounters;
import notchpick.transport.EventLoop;

/** Runs the real controllers as objects in simulated time. */
final class InProcessControllers implements ControllerRunner {
    private static final double FAST_CLOCK_PERCENT = 0.05;
    private static final double SLOW_CLOCK_PERCENT = -0.05;

    private final SimulatedTime time;
    private final SimulatedNetwork network;
    private final Map<String, Long> frozenUntilMs = new HashMap<>();
    private final List<LaunchCounters> launchCounters = new ArrayList<>();

    InProcessControllers(SimulatedTime time, SimulatedNetwork network) {
        this.time = time;
        this.network = network;
    }

    @Override
    public Started start(ProcessStart start) {
        Controller controller = new Controller(
                eventLoop(start),
                start.deployment(),
                Tuning.DEFAULT,
                network.callerOf(start.node(), start.isAlive()),
                new Random(7L * start.index() + start.generation()));
        launchCounters.add(controller.launchCounters());
        controller.tell(new Controller.Begin());
        return new Started(controller::serve, controller::servePeer);
    }

    /** The first controller's clock runs as fast as the settings allow, and the second one's as slow. */
    private EventLoop eventLoop(ProcessStart start) {
        double fastPercent = switch (start.index()) {
            case 0 -> FAST_CLOCK_PERCENT;
            case 1 -> SLOW_CLOCK_PERCENT;
            default -> 0;
        };
        return time.newEventLoop(
                fastPercent,
                start.index() * 100L - 100,
                start.isAlive(),
                () -> frozenUntilMs.getOrDefault(start.node(), 0L));
    }

    @Override
    public void pause(String node, long durationMs) {
        frozenUntilMs.put(node, time.nowMs() + durationMs);
    }

    @Override
    public long withheldStarts() {
        return launchCounters.stream().mapToLong(LaunchCounters::violations).sum();
    }

    @Override
    public long withdrawnLaunches() {
        return launchCounters.stream().mapToLong(LaunchCounters::withdrawn).sum();
    }
}
