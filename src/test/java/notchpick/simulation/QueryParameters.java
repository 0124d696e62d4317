package notchpick.simulation;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import notchpick.transport.HttpCaller.Request;

/** Parses the parameters in the path of a request. */
final class QueryParameters {
    private QueryParameters() {}

    /** The parameters by name; empty if the path has none. */
    static Map<String, String> of(Request request) {
        Map<String, String> parameters = new HashMap<>();
        String[] parts = request.path().split("\\?", 2);
        if (parts.length == 2) {
            for (String part : parts[1].split("&", -1)) {
                String[] pair = part.split("=", 2);
                parameters.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }
}
