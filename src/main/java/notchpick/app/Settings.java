package notchpick.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Deployment.Quota;
import notchpick.protocol.Json;
import notchpick.scheduling.Resources;
import notchpick.scheduling.ServiceObjectives;
import notchpick.scheduling.ServiceObjectives.Kind;
import notchpick.scheduling.ServiceObjectives.Objective;

/** Reads the settings file that the platform hands over. */
public final class Settings {
    private static final Pattern ADDRESS = Pattern.compile("[0-9.]+:[0-9]{1,5}");

    /** A job's end is two changes that belong together. */
    private static final int LEAST_TXN_OPS = 2;

    private Settings() {}

    /** Settings that can't be used; the message is one line that names the field. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        public Unusable(String message) {
            super(message, null, false, false);
        }
    }

    /** Reads and checks the platform's file. */
    public static Deployment read(Path file) throws Unusable {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new Unusable("can't read the settings file " + file);
        }
        ObjectNode root = Json.object(bytes);
        if (root == null) {
            throw new Unusable("the settings file " + file + " does not hold a JSON object");
        }
        JsonNode deployment = node(root, "", "deployment");
        JsonNode workers = node(deployment, "deployment.", "workers");
        JsonNode state = node(deployment, "deployment.", "state");
        JsonNode cloud = node(deployment, "deployment.", "cloud");
        JsonNode limits = node(deployment, "deployment.", "machine_limits");
        JsonNode outside = node(root, "", "outside");
        List<Peer> peers = new ArrayList<>();
        for (JsonNode peer : list(root, "", "known")) {
            peers.add(new Peer(text(peer, "known.", "node"), address(peer, "known.", "addr")));
        }
        List<Quota> teams = new ArrayList<>();
        for (JsonNode team : list(deployment, "deployment.", "teams")) {
            teams.add(new Quota(
                    text(team, "deployment.teams.", "name"),
                    new Resources(optional(team, "cpus"), optional(team, "gpus"), 0),
                    new Resources(optional(team, "cpus_max"), optional(team, "gpus_max"), 0)));
        }
        Map<String, List<Objective>> objectives = new HashMap<>();
        for (JsonNode node : deployment.path("objectives")) {
            Objective objective = objective(node);
            if (objective != null && node.path("class").isTextual()) {
                objectives
                        .computeIfAbsent(node.path("class").asText(), c -> new ArrayList<>())
                        .add(objective);
            }
        }
        List<String> zones = new ArrayList<>();
        list(deployment, "deployment.", "zones").forEach(zone -> zones.add(zone.asText()));
        return new Deployment(
                text(root, "", "node"),
                address(root, "", "serve_on"),
                address(root, "", "peer_bind"),
                peers,
                address(outside, "outside.", "cloud"),
                address(outside, "outside.", "state"),
                zones,
                teams,
                new ServiceObjectives(objectives),
                positive(workers, "deployment.workers.", "report_s"),
                positive(workers, "deployment.workers.", "lease_s"),
                positive(workers, "deployment.workers.", "cancel_s"),
                lasting(state, "rps"),
                lasting(state, "write_rps"),
                (int) (lasting(state, "value_kb") * 1024),
                transactionOps(state),
                positive(cloud, "deployment.cloud.", "rps"),
                positive(cloud, "deployment.cloud.", "list_lag_s"),
                (int) positive(limits, "deployment.machine_limits.", "fd_limit"));
    }

    /** Null for what says nothing of a class of jobs, or what this version does not know. */
    private static Objective objective(JsonNode node) {
        JsonNode within = node.path("within_s");
        return switch (node.path("kind").asText()) {
            case "wait" -> within.isNumber() ? new Objective(Kind.STARTED, within.asDouble()) : null;
            case "finished" -> within.isNumber() ? new Objective(Kind.FINISHED, within.asDouble()) : null;
            case "deadline" -> new Objective(Kind.DEADLINE, node.path("times").asDouble(1));
            default -> null;
        };
    }

    private static JsonNode node(JsonNode parent, String where, String field) throws Unusable {
        JsonNode node = parent.get(field);
        if (node == null || !node.isObject()) {
            throw new Unusable("settings: " + where + field + " must be an object");
        }
        return node;
    }

    private static JsonNode list(JsonNode parent, String where, String field) throws Unusable {
        JsonNode node = parent.get(field);
        if (node == null || !node.isArray()) {
            throw new Unusable("settings: " + where + field + " must be a list");
        }
        return node;
    }

    private static String text(JsonNode parent, String where, String field) throws Unusable {
        JsonNode node = parent.get(field);
        if (node == null || !node.isTextual() || node.asText().isEmpty()) {
            throw new Unusable("settings: " + where + field + " must be text");
        }
        return node.asText();
    }

    private static String address(JsonNode parent, String where, String field) throws Unusable {
        String text = text(parent, where, field);
        if (!ADDRESS.matcher(text).matches()) {
            throw new Unusable("settings: " + where + field + " must have the form 10.0.0.1:8080");
        }
        return text;
    }

    private static double positive(JsonNode parent, String where, String field) throws Unusable {
        JsonNode node = parent.get(field);
        if (node == null || !node.isNumber() || !(node.asDouble() > 0)) {
            throw new Unusable("settings: " + where + field + " must be a number above 0");
        }
        return node.asDouble();
    }

    /**
     * The smaller of a limit's value now and from some moment on. Nobody says when that is: to stay below both
     * all along spares noticing, and costs nothing that could be measured.
     */
    private static double lasting(JsonNode state, String field) throws Unusable {
        double now = positive(state, "deployment.state.", field);
        if (!state.has("next")) {
            return now;
        }
        JsonNode next = node(state, "deployment.state.", "next");
        return next.has(field) ? Math.min(now, positive(next, "deployment.state.next.", field)) : now;
    }

    private static int transactionOps(JsonNode state) throws Unusable {
        double ops = lasting(state, "txn_ops");
        if (ops < LEAST_TXN_OPS) {
            throw new Unusable("settings: deployment.state.txn_ops must be at least " + LEAST_TXN_OPS);
        }
        return (int) ops;
    }

    private static double optional(JsonNode parent, String field) {
        return parent.path(field).asDouble(0);
    }
}
