package notchpick.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import notchpick.scheduling.JobSpec;
import notchpick.storage.JobSpecCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which submissions are accepted and which are malformed. */
class UserProtocolTest {
    private static final String VALID = """
            {"ref":"run-000412","workclass":"train","ownerDesk":"vision","jobForm":"sweep","urgency":"high","pieces":16,
             "cores":8.0,"gpus":1.0,"ramGb":64.0,"bundle":"img-07","sizeGb":6.2,"boxKinds":["g8"],"site":null,
             "oneZone":true,"apart":false,"borrowed":true,"expectedS":240.0,"bookmarkS":30.0,"bookmarkWriteS":4.0,
             "dueS":900.0,"later":"ignored"}""";

    private static ObjectNode json(String text) {
        return Json.object(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void submissionSurvivesEncodingAndDecoding() throws InvalidMessageException {
        JobSpec spec = UserProtocol.submission(json(VALID), 5);
        assertEquals(16, spec.tasks());
        assertEquals(900.0, spec.deadlineS());
        assertEquals(
                spec,
                JobSpecCodec.decode("run-000412", json(JobSpecCodec.encode(spec).toString())));
    }

    @Test
    void duplicateDependenciesAreRemoved() throws InvalidMessageException {
        ObjectNode body = json(VALID);
        assertEquals(List.of(), UserProtocol.submission(body, 0).dependencies());
        body.putNull("waitsOn");
        assertEquals(List.of(), UserProtocol.submission(body, 0).dependencies());
        body.putArray("waitsOn");
        assertEquals(List.of(), UserProtocol.submission(body, 0).dependencies());
        body.putArray("waitsOn").add("run-000398").add("run-000405").add("run-000398");
        JobSpec spec = UserProtocol.submission(body, 0);
        assertEquals(List.of("run-000398", "run-000405"), spec.dependencies());
        assertEquals(
                spec,
                JobSpecCodec.decode("run-000412", json(JobSpecCodec.encode(spec).toString())));
    }

    @Test
    void optionalFieldsMayBeNullOrMissing() throws InvalidMessageException {
        ObjectNode body = json(VALID);
        body.remove("site");
        body.remove("dueS");
        body.putNull("boxKinds");
        assertNull(UserProtocol.submission(body, 0).types());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"jobForm\":\"gang\"",
                "\"urgency\":\"asap\"",
                "\"pieces\":0",
                "\"pieces\":100001",
                "\"pieces\":1.5",
                "\"pieces\":\"4\"",
                "\"cores\":-1",
                "\"cores\":null",
                "\"ref\":\"job-1\"",
                "\"ref\":7",
                "\"oneZone\":1",
                "\"boxKinds\":[]",
                "\"waitsOn\":\"run-000001\"",
                "\"waitsOn\":[1]",
                "\"waitsOn\":[\"job-1\"]",
                "\"waitsOn\":{}",
                "\"boxKinds\":[3]",
                "\"bundle\":\"\"",
                "\"dueS\":\"soon\"",
                "\"ownerDesk\":null"
            })
    void rejectsMissingOrInvalidFields(String wrong) {
        ObjectNode body = json(VALID);
        ObjectNode patch = json("{" + wrong + "}");
        body.setAll(patch);
        assertThrows(InvalidMessageException.class, () -> UserProtocol.submission(body, 0));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"ref\":7}|ref|ref must be a non-empty string",
                "{\"ref\":\"job-1\"}|ref|ref must have the form run-000412",
                "{\"jobForm\":\"gang\"}|jobForm|jobForm must be sweep or service",
                "{\"urgency\":\"asap\"}|urgency|urgency must be prod, high, normal or idle",
                "{\"cores\":null}|cores|cores must be a number",
                "{\"cores\":-1}|cores|cores must be between 0.0 and 1.0E9, but is -1.0",
                "{\"pieces\":1.5}|pieces|pieces must be an integer",
                "{\"pieces\":0}|pieces|pieces must be between 1 and 100000, but is 0",
                "{\"oneZone\":1}|oneZone|oneZone must be true or false",
                "{\"boxKinds\":[]}|boxKinds|boxKinds must name at least one machine type",
                "{\"boxKinds\":[3]}|boxKinds|boxKinds must be a list of strings",
                "{\"waitsOn\":[\"job-1\"]}|waitsOn|waitsOn must be a list of job ids of the form run-000412"
            })
    void errorNamesTheFieldAndItsRequirement(String wrong, String field, String message) {
        ObjectNode body = json(VALID);
        ObjectNode patch = json(wrong);
        body.setAll(patch);
        InvalidMessageException exception =
                assertThrows(InvalidMessageException.class, () -> UserProtocol.submission(body, 0));
        assertEquals(message, exception.getMessage());
        assertEquals(field, exception.field());
        assertEquals(patch.get(field), exception.value());
    }

    @Test
    void rejectsBodyThatIsNotAnObject() {
        InvalidMessageException exception =
                assertThrows(InvalidMessageException.class, () -> UserProtocol.submission(null, 0));
        assertEquals("the body must be a JSON object", exception.getMessage());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "7", "null", "{} {}"})
    void bytesWithoutASingleObjectParseAsNull(String text) {
        assertNull(json(text));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"box\":\"m-1\"}",
                "{\"box\":\"m\",\"boxKind\":\"t\",\"site\":\"a\",\"borrowed\":true,\"shift\":-1,\"tally\":1,\"mandate\":1}",
                "{\"box\":\"m\",\"boxKind\":\"t\",\"site\":\"a\",\"borrowed\":true,\"shift\":1,\"tally\":1,\"mandate\":1,"
                        + "\"pieces\":[{\"piece\":\"x\",\"tryNo\":1,\"status\":\"running\"}]}"
            })
    void rejectsMalformedHeartbeats(String text) {
        assertThrows(InvalidMessageException.class, () -> WorkerProtocol.heartbeat(json(text)));
    }
}
