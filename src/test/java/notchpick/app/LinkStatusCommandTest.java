package notchpick.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.TestDeployments;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.peer.LinkCondition;
import notchpick.protocol.peer.LinkKind;
import notchpick.protocol.peer.LinkRow;
import notchpick.protocol.peer.LinkTable;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/** The link status for operators, which distinguishes a refused connection, a missing answer and an older version. */
class LinkStatusCommandTest {
    private static final Deployment DEPLOYMENT = TestDeployments.deployment(
            TestDeployments.TIMING,
            List.of(new Peer("n-1", "b:2"), new Peer("n-2", "c:2"), new Peer("n-3", "d:2")),
            List.of());
    private static final LinkTable TABLE = new LinkTable(
            "n-0",
            7L,
            "n-1",
            "n-2",
            40L,
            List.of(
                    new LinkRow(LinkKind.STATE, "", LinkCondition.SILENT, 12_300L, 6L, 0.0),
                    new LinkRow(LinkKind.PEER, "n-1", LinkCondition.TURNED_AWAY, 200L, -1L, 1.6),
                    new LinkRow(LinkKind.WORKERS, "east", LinkCondition.UNKNOWN, -1L, -1L, 0.0)));

    private static Response response(String target) {
        return switch (target) {
            case "a:2" -> Response.of(200, PeerProtocol.encode(TABLE));
            case "b:2" -> Response.CONNECTION_REFUSED;
            case "c:2" -> Response.UNANSWERED;
            default -> Response.empty(400);
        };
    }

    @Test
    void formatsLinksOfEachController() throws Exception {
        List<String> lines =
                LinkStatusCommand.query(
                                DEPLOYMENT, (request, timeoutMs, then) -> then.accept(response(request.target())))
                        .stream()
                        .flatMap(response -> LinkStatusCommand.format(response).lines())
                        .map(line -> line.strip().replaceAll(" +", " "))
                        .toList();
        assertEquals(
                List.of(
                        "n-0: term 7, leader n-1, state store through n-2, timer lag 40 ms",
                        "state silent 12.3 s ago 6 ms 0.0/s",
                        "peer n-1 turned away 0.2 s ago - 1.6/s",
                        "workers east unknown never - 0.0/s",
                        "n-1: connection refused",
                        "n-2: no answer",
                        "n-3: version does not report its links"),
                lines);
    }
}
