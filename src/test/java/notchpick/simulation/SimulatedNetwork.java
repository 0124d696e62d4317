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

/** Carries calls between hosts; links can be cut or slowed down, hosts frozen or without power. */
public final class SimulatedNetwork {
    private static final long LATENCY_MS = 2;

    /** How a cut treats packets: hold them and deliver them late, reset the connection, or refuse new ones. */
    public enum Cut {
        HOLD,
        RESET,
        REFUSE
    }

    /** Packets from one host or group to another are cut. */
    private record Route(String from, String to) {}

    private final SimulatedTime time;
    private final Map<String, HttpHandler> handlers = new HashMap<>();
    private final Map<String, String> hostsByAddress = new HashMap<>();
    private final Map<Route, Cut> cuts = new LinkedHashMap<>();
    /** How much longer packets take, by route. */
    private final Map<Route, Long> delaysMs = new LinkedHashMap<>();
    /** How many calls went to each address. */
    private final Map<String, Integer> callCounts = new HashMap<>();

    private int delayedPackets;
    private final Map<Route, List<Runnable>> heldPackets = new HashMap<>();
    /** Names that stand for many hosts, by host. */
    private final Map<String, Set<String>> groups = new HashMap<>();
    /** Hosts without power: what is sent to them gets no answer of any kind. */
    private final Set<String> unpoweredHosts = new HashSet<>();
    /** Hosts whose processes are paused, and until when. What comes meanwhile waits in their sockets. */
    private final Map<String, Long> frozenUntilMs = new HashMap<>();

    private Transcript transcript = Transcript.NONE;

    public SimulatedNetwork(SimulatedTime time) {
        this.time = time;
    }

    /** From now on all calls and answers are written down. */
    void record(Transcript to) {
        transcript = to;
    }

    /** A host serves this address. */
    public void serve(String address, String host, HttpHandler handler) {
        handlers.put(address, handler);
        hostsByAddress.put(address, host);
    }

    /** Nobody serves this address any more: connections to it are refused. */
    public void stopServing(String address) {
        handlers.remove(address);
    }

    /** The host loses its power, or has it back. */
    public void setPowered(String host, boolean powered) {
        if (powered) {
            unpoweredHosts.remove(host);
        } else {
            unpoweredHosts.add(host);
        }
    }

    /** The host's processes are paused until then; what is sent to it waits. */
    public void freeze(String host, long untilMs) {
        frozenUntilMs.put(host, untilMs);
    }

    /** A host belongs to a group, which cuts may name in its place. */
    public void addToGroup(String host, String group) {
        groups.computeIfAbsent(host, h -> new HashSet<>()).add(group);
    }

    /** A host is in this zone: it belongs to the zone's group, and to the group outside of each other zone. */
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

    /** Cuts one direction; packets in the other still pass. */
    public void cutOneWay(String from, String to, Cut mode) {
        cuts.put(new Route(from, to), mode);
    }

    /** Packets in one direction take longer by this from now on; 0 ends that. */
    public void delayOneWay(String from, String to, long extraMs) {
        if (extraMs > 0) {
            delaysMs.put(new Route(from, to), extraMs);
        } else {
            delaysMs.remove(new Route(from, to));
        }
    }

    /** How many packets have been slowed down. */
    public int delayedPackets() {
        return delayedPackets;
    }

    /** How many calls were made to addresses that begin like this. */
    public int callsTo(String prefix) {
        return callCounts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Ends the cuts between two hosts or groups; what was held back is delivered. */
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

    /** The first cut between the two hosts in this direction. */
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

    /** Calls made by one host, whose answers count as long as its process lives. */
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
        // The state store refuses by who calls, so the caller's name goes along.
        handler.handle(new Request(from, call.method(), call.path(), call.body()), answer -> {
            transcript.answered(time.nowMs(), to, from, call, answer);
            transmit(to, from, () -> answerOnce.accept(answer), reset);
        });
    }
}
