package notchpick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpHandler;

/** Delivers calls between hosts; tests can cut or delay links, freeze hosts and turn off their power. */
public final class SimulatedNetwork {
    private static final long LATENCY_MS = 2;

    /** How a cut treats packets: holds them until the cut is healed, resets connections, or also refuses new ones. */
    public enum Cut {
        HOLD,
        RESET,
        REFUSE
    }

    /** One direction between two hosts or groups. */
    private record Route(String from, String to) {}

    private final SimulatedTime time;
    private final Map<String, HttpHandler> handlers = new HashMap<>();
    private final Map<String, String> hostsByAddress = new HashMap<>();
    private final Map<Route, Cut> cuts = new LinkedHashMap<>();
    /** Extra packet delay, by route. */
    private final Map<Route, Long> delaysMs = new LinkedHashMap<>();
    /** Number of calls, by address. */
    private final Map<String, Integer> callCounts = new HashMap<>();

    private int delayedPackets;
    private final Map<Route, List<Runnable>> heldPackets = new HashMap<>();
    /** The groups that each host belongs to, by host. */
    private final Map<String, Set<String>> groups = new HashMap<>();
    /** Hosts without power: packets to them are lost without a reset or refusal. */
    private final Set<String> unpoweredHosts = new HashSet<>();
    /** Until when the processes of a host are paused, by host; packets wait in its sockets until then. */
    private final Map<String, Long> frozenUntilMs = new HashMap<>();

    private Transcript transcript = Transcript.NONE;
    private CallRepeater repeater = CallRepeater.NONE;

    public SimulatedNetwork(SimulatedTime time) {
        this.time = time;
    }

    /** Writes all later calls and answers to the transcript. */
    void record(Transcript to) {
        transcript = to;
    }

    /** Registers a host's handler for this address. */
    public void serve(String address, String host, HttpHandler handler) {
        handlers.put(address, handler);
        hostsByAddress.put(address, host);
    }

    /** Stops serving this address; connections to it are refused from now on. */
    public void stopServing(String address) {
        handlers.remove(address);
    }

    /** Turns the host's power on or off. */
    public void setPowered(String host, boolean powered) {
        if (powered) {
            unpoweredHosts.remove(host);
        } else {
            unpoweredHosts.add(host);
        }
    }

    /** Pauses the host's processes until the given time; packets to it wait. */
    public void freeze(String host, long untilMs) {
        frozenUntilMs.put(host, untilMs);
    }

    /** Adds a host to a group, which cuts and delays may name instead of single hosts. */
    public void addToGroup(String host, String group) {
        groups.computeIfAbsent(host, h -> new HashSet<>()).add(group);
    }

    /** Adds a host to the zone's group, and to the group of hosts outside each other zone. */
    void addToZone(String host, String zone) {
        for (String other : ClusterConfig.ZONES) {
            addToGroup(host, other.equals(zone) ? "zone-" + zone : "outside-" + other);
        }
    }

    /** Cuts both directions between two hosts or groups. */
    public void cut(String one, String other, Cut mode) {
        cutOneWay(one, other, mode);
        cutOneWay(other, one, mode);
    }

    /** Cuts one direction only. */
    public void cutOneWay(String from, String to, Cut mode) {
        cuts.put(new Route(from, to), mode);
    }

    /** Sets the extra delay of packets in one direction; 0 removes it. */
    public void delayOneWay(String from, String to, long extraMs) {
        if (extraMs > 0) {
            delaysMs.put(new Route(from, to), extraMs);
        } else {
            delaysMs.remove(new Route(from, to));
        }
    }

    /** Sets which calls arrive at their target a second time; the answers to the copies are dropped. */
    public void setRepeater(CallRepeater newRepeater) {
        repeater = newRepeater;
    }

    /** How many packets had an extra delay. */
    public int delayedPackets() {
        return delayedPackets;
    }

    /** How many calls were made to addresses with this prefix. */
    public int callsTo(String prefix) {
        return callCounts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Removes the cuts in both directions between two hosts or groups and delivers the packets that they held. */
    public void heal(String one, String other) {
        for (Route route : List.of(new Route(one, other), new Route(other, one))) {
            cuts.remove(route);
            List<Runnable> released = heldPackets.remove(route);
            if (released != null) {
                released.forEach(packet -> time.schedule(LATENCY_MS, packet));
            }
        }
    }

    private boolean matches(String host, String name) {
        return host.equals(name) || groups.getOrDefault(host, Set.of()).contains(name);
    }

    /** The earliest cut that applies to packets between the two hosts in this direction. */
    private Optional<Route> cutBetween(String from, String to) {
        return cuts.keySet().stream()
                .filter(route -> matches(from, route.from()) && matches(to, route.to()))
                .findFirst();
    }

    private long delayMsBetween(String from, String to) {
        long longestMs = 0;
        for (Map.Entry<Route, Long> delay : delaysMs.entrySet()) {
            if (matches(from, delay.getKey().from())
                    && matches(to, delay.getKey().to())) {
                longestMs = Math.max(longestMs, delay.getValue());
            }
        }
        return longestMs;
    }

    private void transmit(String from, String to, Runnable packet, Runnable reset) {
        if (unpoweredHosts.contains(to)) {
            return;
        }
        Optional<Route> cut = cutBetween(from, to);
        if (cut.isEmpty()) {
            long delayMs = delayMsBetween(from, to);
            delayedPackets += delayMs > 0 ? 1 : 0;
            long frozenForMs = frozenUntilMs.getOrDefault(to, 0L) - time.nowMs();
            time.schedule(Math.max(LATENCY_MS + delayMs, frozenForMs), packet);
        } else if (cuts.get(cut.get()) == Cut.HOLD) {
            heldPackets.computeIfAbsent(cut.get(), c -> new ArrayList<>()).add(() -> transmit(from, to, packet, reset));
        } else {
            time.schedule(LATENCY_MS, reset);
        }
    }

    /** The caller of one host; answers that arrive after its process has ended are dropped. */
    public HttpCaller callerOf(String host, BooleanSupplier isAlive) {
        return (call, timeoutMs, then) -> {
            callCounts.merge(call.target(), 1, Integer::sum);
            transcript.called(time.nowMs(), host, call);
            Consumer<Response> answerOnce = once(then, isAlive);
            time.schedule(timeoutMs, () -> answerOnce.accept(Response.UNANSWERED));
            String to = hostsByAddress.get(call.target());
            if (cutBetween(host, to).filter(cut -> cuts.get(cut) == Cut.REFUSE).isPresent()) {
                time.schedule(LATENCY_MS, () -> answerOnce.accept(Response.CONNECTION_REFUSED));
                return;
            }
            Runnable reset = () -> answerOnce.accept(Response.UNANSWERED);
            transmit(host, to, () -> serveCall(host, call, answerOnce), reset);
            repeater.delayMs(host, call)
                    .ifPresent(delayMs -> time.schedule(
                            delayMs, () -> transmit(host, to, () -> serveCall(host, call, dropped -> {}), () -> {})));
        };
    }

    private static Consumer<Response> once(Consumer<Response> then, BooleanSupplier isAlive) {
        AtomicBoolean answered = new AtomicBoolean();
        return answer -> {
            if (!answered.get() && isAlive.getAsBoolean()) {
                answered.set(true);
                then.accept(answer);
            }
        };
    }

    private void serveCall(String from, Request call, Consumer<Response> answerOnce) {
        String to = hostsByAddress.get(call.target());
        Runnable reset = () -> answerOnce.accept(Response.UNANSWERED);
        HttpHandler handler = handlers.get(call.target());
        if (handler == null) {
            transmit(to, from, () -> answerOnce.accept(Response.CONNECTION_REFUSED), reset);
            return;
        }
        // The target is replaced by the caller's host, by which the state store decides whose requests to refuse.
        handler.handle(new Request(from, call.method(), call.path(), call.body()), answer -> {
            transcript.answered(time.nowMs(), to, from, call, answer);
            transmit(to, from, () -> answerOnce.accept(answer), reset);
            // A second copy of the answer finds no request that waits for it.
            repeater.delayMs(from, call)
                    .ifPresent(delayMs ->
                            time.schedule(delayMs, () -> transmit(to, from, () -> answerOnce.accept(answer), reset)));
        });
    }
}
