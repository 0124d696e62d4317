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
import java.util.Optional;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.Deployment.StateStoreLimits;
import notchpick.coordination.Deployment.WorkerTiming;
import notchpick.protocol.Json;
import notchpick.scheduling.Resources;
import notchpick.scheduling.ServiceObjectives;
import notchpick.scheduling.ServiceObjectives.Kind;
import notchpick.scheduling.ServiceObjectives.Objective;

/** Reads the settings file that the platform provides. */
public final class Settings {
    private static final int BYTES_PER_KB = 1024;
    /** Storing the end of a job takes two writes in one transaction. */
    private static final int MIN_TRANSACTION_WRITES = 2;

    private Settings() {}

    /**
     * Reads and checks the platform's settings.
     *
     * @throws InvalidSettingsException if the file can't be read, or if a field is missing or invalid
     */
    public static Deployment read(Path file) throws InvalidSettingsException {
        SettingsSection root = SettingsSection.root(parse(file));
        SettingsSection deployment = root.section("deployment");
        SettingsSection workers = deployment.section("workers");
        SettingsSection stateStore = deployment.section("state");
        SettingsSection cloud = deployment.section("cloud");
        SettingsSection machineLimits = deployment.section("machine_limits");
        SettingsSection outside = root.section("outside");
        List<Peer> peers = peers(root);
        List<Quota> quotas = quotas(deployment);
        ServiceObjectives objectives = objectives(deployment);
        List<String> zones = deployment.texts("zones");
        return new Deployment(
                root.text("node"),
                root.address("serve_on"),
                root.address("peer_bind"),
                peers,
                outside.address("cloud"),
                outside.address("state"),
                zones,
                quotas,
                objectives,
                workerTiming(workers),
                stateStoreLimits(stateStore),
                cloudRps(cloud),
                (int) machineLimits.positive("fd_limit"));
    }

    private static ObjectNode parse(Path file) throws InvalidSettingsException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw InvalidSettingsException.inFile("can't read the settings file " + file);
        }
        ObjectNode root = Json.object(bytes);
        if (root == null) {
            throw InvalidSettingsException.inFile("the settings file " + file + " must contain a JSON object");
        }
        return root;
    }

    private static List<Peer> peers(SettingsSection root) throws InvalidSettingsException {
        List<Peer> peers = new ArrayList<>();
        for (SettingsSection peer : root.sections("known")) {
            peers.add(new Peer(peer.text("node"), peer.address("addr")));
        }
        return peers;
    }

    private static List<Quota> quotas(SettingsSection deployment) throws InvalidSettingsException {
        List<Quota> quotas = new ArrayList<>();
        for (SettingsSection team : deployment.sections("teams")) {
            quotas.add(new Quota(
                    team.text("name"),
                    new Resources(team.optionalNumber("cpus"), team.optionalNumber("gpus"), 0),
                    new Resources(team.optionalNumber("cpus_max"), team.optionalNumber("gpus_max"), 0)));
        }
        return quotas;
    }

    private static ServiceObjectives objectives(SettingsSection deployment) {
        Map<String, List<Objective>> byClass = new HashMap<>();
        for (JsonNode node : deployment.unchecked("objectives")) {
            Optional<Objective> objective = objective(node);
            if (objective.isPresent() && node.path("class").isTextual()) {
                byClass.computeIfAbsent(node.path("class").asText(), name -> new ArrayList<>())
                        .add(objective.get());
            }
        }
        return new ServiceObjectives(byClass);
    }

    /**
     * Parses an objective; empty if its limit is missing or this version does not support its kind. Such objectives are
     * ignored, as are those that don't apply to a class of jobs.
     */
    private static Optional<Objective> objective(JsonNode node) {
        return switch (node.path("kind").asText()) {
            case "wait" -> objectiveWithin(Kind.STARTED, node);
            case "finished" -> objectiveWithin(Kind.FINISHED, node);
            case "deadline" ->
                Optional.of(new Objective(Kind.DEADLINE, node.path("times").asDouble(1)));
            default -> Optional.empty();
        };
    }

    private static Optional<Objective> objectiveWithin(Kind kind, JsonNode node) {
        JsonNode within = node.path("within_s");
        return within.isNumber() ? Optional.of(new Objective(kind, within.asDouble())) : Optional.empty();
    }

    private static WorkerTiming workerTiming(SettingsSection workers) throws InvalidSettingsException {
        return new WorkerTiming(
                workers.positive("report_s"), workers.positive("lease_s"), workers.positive("cancel_s"));
    }

    private static StateStoreLimits stateStoreLimits(SettingsSection stateStore) throws InvalidSettingsException {
        return new StateStoreLimits(
                lowestLimit(stateStore, "rps"),
                lowestLimit(stateStore, "write_rps"),
                (int) (lowestLimit(stateStore, "value_kb") * BYTES_PER_KB),
                transactionWrites(stateStore));
    }

    private static double cloudRps(SettingsSection cloud) throws InvalidSettingsException {
        double requestsPerS = cloud.positive("rps");
        // The value is not used, but it is required: settings without it don't come from the platform.
        cloud.positive("list_lag_s");
        return requestsPerS;
    }

    /**
     * The lower of a limit's current and announced values. The settings don't say when the announced value takes
     * effect, so a controller stays within both from the start.
     */
    private static double lowestLimit(SettingsSection stateStore, String field) throws InvalidSettingsException {
        double present = stateStore.positive(field);
        if (!stateStore.has("next")) {
            return present;
        }
        SettingsSection next = stateStore.section("next");
        return next.has(field) ? Math.min(present, next.positive(field)) : present;
    }

    private static int transactionWrites(SettingsSection stateStore) throws InvalidSettingsException {
        double writes = lowestLimit(stateStore, "txn_ops");
        if (writes < MIN_TRANSACTION_WRITES) {
            throw stateStore.invalid("txn_ops", "be at least " + MIN_TRANSACTION_WRITES);
        }
        return (int) writes;
    }
}
