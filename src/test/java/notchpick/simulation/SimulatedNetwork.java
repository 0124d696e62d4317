package notchpick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpHandler;

/** Carries calls between hosts, which may be cut off from each other. */
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

    private final SimulatedTime simulation;
    private final Map<String, HttpHandler> hosts = new HashMap<>();
    private final Map<String, String> hostOf = new HashMap<>();
    private final Map<Route, Cut> cuts = new LinkedHashMap<>();
    /** Slow ways: what passes takes so much longer. */
    private final Map<Route, Long> delays = new LinkedHashMap<>();
    /** How many calls went to each address. */
    private final Map<String, Integer> calls = new HashMap<>();

    private int delayed;
    private final Map<Route, List<Runnable>> heldBack = new HashMap<>();
    /** Names that stand for many hosts, by host. */
    private final Map<String, Set<String>> groups = new HashMap<>();
    /** Hosts without power: what is sent to them gets no answer of any kind. */
    private final Set<String> dark = new HashSet<>();
    /** Hosts that stand still, and until when. What comes meanwhile waits in their sockets. */
    private final Map<String, Long> frozen = new HashMap<>();

    private Transcript transcript = Transcript.NONE;

    public SimulatedNetwork(SimulatedTime simulation) {
        this.simulation = simulation;
    }

    /** From now on all calls and answers are written down. */
    void record(Transcript to) {
        transcript = to;
    }

    /** A host serves this address. */
    public void serve(String address, String host, HttpHandler handler) {
        hosts.put(address, handler);
        hostOf.put(address, host);
    }

    public void vanish(String address) {
        hosts.remove(address);
    }

    /** The host loses its power, or has it back. */
    public void dark(String host, boolean on) {
        if (on) {
            dark.add(host);
        } else {
            dark.remove(host);
        }
    }

    public void freeze(String host, long untilMs) {
        frozen.put(host, untilMs);
    }

    /** A host belongs to a group, which cuts may name in its place. */
    public void join(String host, String group) {
        groups.computeIfAbsent(host, h -> new HashSet<>()).add(group);
    }

    /** Cuts both ways between two hosts or groups. */
    public void cut(String one, String other, Cut how) {
        cutOneWay(one, other, how);
        cutOneWay(other, one, how);
    }

    /** Packets the other way still pass. */
    public void cutOneWay(String from, String to, Cut how) {
        cuts.put(new Route(from, to), how);
    }

    /** Packets one way take longer by this from now on; 0 ends that. */
    public void delayOneWay(String from, String to, long byMs) {
        if (byMs > 0) {
            delays.put(new Route(from, to), byMs);
        } else {
            delays.remove(new Route(from, to));
        }
    }

    /** How many packets have been slowed down. */
    public int delayed() {
        return delayed;
    }

    /** How many calls were made to addresses that begin like this. */
    public int callsTo(String prefix) {
        return calls.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Ends the cuts between two hosts or groups; what was held back is delivered. */
    public void heal(String one, String other) {
        for (Route route : List.of(new Route(one, other), new Route(other, one))) {
            cuts.remove(route);
            List<Runnable> late = heldBack.remove(route);
            if (late != null) {
                late.forEach(packet -> simulation.after(LATENCY_MS, packet));
            }
        }
    }

    private boolean is(String host, String name) {
        return host.equals(name) || groups.getOrDefault(host, Set.of()).contains(name);
    }

    /** The first cut that stands on this way, or null. */
    private Route cutOn(String from, String to) {
        for (Route route : cuts.keySet()) {
            if (is(from, route.from()) && is(to, route.to())) {
                return route;
            }
        }
        return null;
    }

    private long delayOn(String from, String to) {
        long longest = 0;
        for (Map.Entry<Route, Long> delay : delays.entrySet()) {
            if (is(from, delay.getKey().from()) && is(to, delay.getKey().to())) {
                longest = Math.max(longest, delay.getValue());
            }
        }
        return longest;
    }

    private void carry(String from, String to, Runnable packet, Runnable reset) {
        if (dark.contains(to)) {
            return;
        }
        Route cut = cutOn(from, to);
        if (cut == null) {
            long delayMs = delayOn(from, to);
            delayed += delayMs > 0 ? 1 : 0;
            simulation.after(Math.max(LATENCY_MS + delayMs, frozen.getOrDefault(to, 0L) - simulation.now()), packet);
        } else if (cuts.get(cut) == Cut.HOLD) {
            heldBack.computeIfAbsent(cut, c -> new ArrayList<>()).add(() -> carry(from, to, packet, reset));
        } else {
            simulation.after(LATENCY_MS, reset);
        }
    }

    /** Calls made by one host, as long as it lives. */
    public HttpCaller from(String host, BooleanSupplier alive) {
        return (call, timeoutMs, then) -> {
            calls.merge(call.target(), 1, Integer::sum);
            transcript.called(simulation.now(), host, call);
            boolean[] over = {false};
            Consumer<Response> once = answer -> {
                if (!over[0] && alive.getAsBoolean()) {
                    over[0] = true;
                    then.accept(answer);
                }
            };
            simulation.after(timeoutMs, () -> once.accept(Response.NONE));
            String to = hostOf.get(call.target());
            Runnable reset = () -> once.accept(Response.NONE);
            Route cut = cutOn(host, to);
            if (cut != null && cuts.get(cut) == Cut.REFUSE) {
                simulation.after(LATENCY_MS, () -> once.accept(Response.UNSENT));
                return;
            }
            carry(
                    host,
                    to,
                    () -> {
                        HttpHandler handler = hosts.get(call.target());
                        if (handler == null) {
                            carry(to, host, () -> once.accept(Response.UNSENT), reset);
                            return;
                        }
                        // The state service refuses by who calls, so the caller's name goes along.
                        handler.handle(new Request(host, call.method(), call.path(), call.body()), answer -> {
                            transcript.answered(simulation.now(), to, host, call, answer);
                            carry(to, host, () -> once.accept(answer), reset);
                        });
                    },
                    reset);
        };
    }
}
