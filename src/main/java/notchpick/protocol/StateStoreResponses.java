package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import notchpick.protocol.StateStoreClient.Change;
import notchpick.protocol.StateStoreClient.Changes;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Listing;
import notchpick.protocol.StateStoreResult.Conflict;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.protocol.StateStoreResult.Refused;
import notchpick.protocol.StateStoreResult.Unknown;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/** Parses the state store's responses. */
final class StateStoreResponses {
    /** Parses the body of a successful response. */
    interface BodyReader<T> {
        T read(ObjectNode body);
    }

    private StateStoreResponses() {}

    /** Maps the status of a response to a result, and parses the body of a successful one. */
    static <T> StateStoreResult<T> result(Response response, BodyReader<T> reader) {
        switch (response.status()) {
            case HttpStatus.OK, HttpStatus.CREATED -> {
                ObjectNode body = Json.object(response.body());
                return body == null ? new Unknown<>() : new Ok<>(reader.read(body));
            }
            case HttpStatus.NOT_FOUND -> {
                return new Missing<>();
            }
            case HttpStatus.BAD_REQUEST, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE -> {
                return new Refused<>(response.status());
            }
            default -> {
                return new Unknown<>();
            }
        }
    }

    /** Parses the response to a transaction: its revision, or the keys whose conditions failed. */
    static StateStoreResult<Long> commitResult(Response response) {
        if (response.status() != HttpStatus.CONFLICT) {
            return result(response, StateStoreResponses::revision);
        }
        List<String> keys = new ArrayList<>();
        ObjectNode body = Json.object(response.body());
        if (body != null) {
            body.path("failed").forEach(key -> keys.add(key.asText()));
        }
        return new Conflict<>(keys);
    }

    private static long revision(JsonNode body) {
        return body.path(StateStoreFields.REVISION).asLong();
    }

    /** Parses the id of a lease. */
    static long lease(JsonNode body) {
        return body.path(StateStoreFields.LEASE).asLong();
    }

    /** Parses a key with its value and version. */
    static Entry entry(JsonNode node) {
        return new Entry(
                node.path(StateStoreFields.KEY).asText(),
                node.path(StateStoreFields.VALUE),
                node.path(StateStoreFields.VERSION).asLong(),
                node.path(StateStoreFields.LEASE).asLong());
    }

    /** Parses a page of keys. */
    static Listing listing(JsonNode body) {
        List<Entry> entries = new ArrayList<>();
        body.path("items").forEach(item -> entries.add(entry(item)));
        return new Listing(entries, body.path("truncated").asBoolean(), revision(body));
    }

    /** Parses the changes of keys. */
    static Changes changes(JsonNode body) {
        List<Change> log = new ArrayList<>();
        for (JsonNode item : body.path("log")) {
            long version = item.path(StateStoreFields.VERSION).asLong();
            if (item.has(StateStoreFields.PUT)) {
                log.add(new Change(
                        item.path(StateStoreFields.PUT).asText(), item.get(StateStoreFields.VALUE), version));
            } else {
                log.add(new Change(item.path(StateStoreFields.DELETE).asText(), null, version));
            }
        }
        return new Changes(log, revision(body));
    }
}
