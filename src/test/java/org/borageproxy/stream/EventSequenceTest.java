package org.borageproxy.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EventSequenceTest {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String ONE = "id: 1\ndata: a\n\n";
    private static final String TWO = "id: 2\ndata: b\n\n";
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final EventSequence sequence = new EventSequence(false, Optional.empty());

    private String append(String bytes) {
        return append(sequence, bytes);
    }

    private static String append(EventSequence sequence, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new String(sequence.append(ByteBuffer.wrap(bytes)), StandardCharsets.UTF_8);
    }

    private EventSequence.Kind begin(String contentType) {
        return sequence.begin(200, Optional.of(contentType));
    }

    @Test
    void passesOnlyCompleteEvents() {
        assertEquals(ONE, append("id: 1\ndata: a\n\nid: 2\nda"));
        assertEquals(Optional.of("1"), sequence.lastEventIdentity());
        assertTrue(sequence.hasPartialEvent());
        assertEquals(TWO, append("ta: b\n\n"));
        assertEquals(Optional.of("2"), sequence.lastEventIdentity());
        assertFalse(sequence.hasPartialEvent());
    }

    @Test
    void discardsPartialEventAndContinuesWithNextEvent() {
        append("id: 1\ndata: a\n\nid: 2\ndata: half");
        sequence.discardPending();
        assertEquals(Optional.of("1"), sequence.lastEventIdentity());
        assertEquals("id: 2\ndata: whole\n\n", append("id: 2\ndata: whole\n\n"));
        assertEquals(2, sequence.eventCount());
    }

    @Test
    void readsEventIdAfterAnotherFieldWithCrlfLineEndings() {
        assertEquals("x-versions: 3\r\nid: 7\r\ndata: a\r\n\r\n", append("x-versions: 3\r\nid: 7\r\ndata: a\r\n\r\n"));
        assertEquals(Optional.of("7"), sequence.lastEventIdentity());
    }

    @Property(tries = 200)
    void chunkSizeDoesNotAffectPassedEvents(@ForAll @IntRange(min = 1, max = 40) int size) {
        String stream = "id: 1\ndata: alpha\n\nid: 2\ndata: beta\n\nid: 3\ndata: gamma\n\n";
        EventSequence chunks = new EventSequence(false, Optional.empty());
        assertEquals(stream, appendInChunks(chunks, stream, size));
        assertEquals(Optional.of("3"), chunks.lastEventIdentity());
    }

    private static String appendInChunks(EventSequence sequence, String text, int size) {
        StringBuilder passed = new StringBuilder();
        for (int start = 0; start < text.length(); start += size) {
            passed.append(append(sequence, text.substring(start, Math.min(text.length(), start + size))));
        }
        return passed.toString();
    }

    /** Guards against an event of another run, an error's text or its head in the middle of a stream. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "ERROR\n\n",
                "ERROR\nid: 2\ndata: b\n\n",
                "HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nERROR",
                "Date: Sat, 05 Dec 2026\r\nid: 2\ndata: b\n\n",
                "{\"error\":\"failed\"}\n\n",
                "<html>\n\n",
                "data: no identity\n\n",
                "error: failed\n\n",
                "id\ndata: b\n\n",
                "id:\ndata: b\n\n",
                "id: two\ndata: b\n\n",
                "id: 2x\ndata: b\n\n",
                "id: -2\ndata: b\n\n",
                "id: +2\ndata: b\n\n",
                "id: 02\ndata: b\n\n",
                "id: 2.0\ndata: b\n\n",
                "id: 9999999999999999999\ndata: b\n\n",
                "id: 1\ndata: a\n\n",
                "id: 0\ndata: a\n\n",
                "id: 2\nid: 3\ndata: b\n\n"
            })
    void partThatIsNoFurtherEventEndsTheAnswer(String part) {
        assertEquals(ONE, append(ONE + part + "id: 3\ndata: c\n\n"));
        assertTrue(sequence.fault().isPresent());
        assertEquals("", append(TWO));
        assertTrue(sequence.endFault(false).isPresent());
    }

    /** Events can stand for several tokens, so that their identities skip numbers. */
    @Test
    void identitiesMaySkipNumbers() {
        String events = "id: 0\ndata: a\n\nid: 4\ndata: b\n\nid:100\ndata: c\n\n";
        assertEquals(events, append(events));
        assertEquals(Optional.empty(), sequence.endFault(true));
    }

    /** Guards against bytes of an answer that brings no event of the stream. */
    @Test
    void commentsArePassedOnOnlyWithEventsOfTheirAnswer() {
        assertEquals("", append(": ERROR\n\n"));
        assertEquals(": ERROR\n\n" + ONE + "\n: later\n\n", append(ONE + "\n: later\n\n"));
        begin(EVENT_STREAM);
        assertEquals("", append(": ERROR\n\n"));
        assertEquals(Optional.of("answer ended without an event"), sequence.endFault(false));
    }

    @Test
    void commentsOfAnAnswerWithoutEventsAreKept() {
        append(": nothing\n\n");
        assertEquals(Optional.empty(), sequence.endFault(false));
        assertEquals(": nothing\n\n", new String(sequence.takeComments(), StandardCharsets.UTF_8));
    }

    /** Guards against a stream that passes for complete though only its connection ended, or a resumption is empty. */
    @Test
    void answerWithoutAnEventIsNotTheEndOfAStream() {
        assertEquals(Optional.empty(), sequence.endFault(false));
        assertTrue(sequence.endFault(true).isPresent());
        append(ONE);
        assertEquals(Optional.empty(), sequence.endFault(true));
        begin(EVENT_STREAM);
        assertTrue(sequence.endFault(false).isPresent());
        append(TWO + "id: 3");
        assertTrue(sequence.endFault(false).isPresent());
    }

    @Test
    void eventThatIsTooLargeEndsTheAnswer() {
        assertEquals(ONE, append(ONE));
        assertEquals("", append("id: 2\ndata: " + "x".repeat(MAX_EVENT_BYTES - 10)));
        assertTrue(sequence.fault().isPresent());
        begin(EVENT_STREAM);
        assertEquals(TWO, append(TWO));
    }

    /** Guards against events of another kind of answer in a stream. */
    @Test
    void furtherAnswersMustBeStreamsOfTheSameMediaType() {
        assertEquals(EventSequence.Kind.EVENTS, begin("Text/Event-Stream; charset=utf-8"));
        append(ONE);
        assertEquals(EventSequence.Kind.EVENTS, begin(EVENT_STREAM));
        for (String contentType : List.of("text/plain", "application/json", "text/event-stream2", "")) {
            assertEquals(EventSequence.Kind.FOREIGN, begin(contentType), contentType);
        }
        assertEquals(EventSequence.Kind.FOREIGN, sequence.begin(200, Optional.empty()));
        for (int status = 201; status < 600; status++) {
            assertEquals(EventSequence.Kind.FOREIGN, sequence.begin(status, Optional.of(EVENT_STREAM)));
        }
    }

    @Test
    void answerWithoutMediaTypeContinuesAStreamThatStatedNone() {
        assertEquals(EventSequence.Kind.EVENTS, sequence.begin(200, Optional.empty()));
        append(ONE);
        assertEquals(EventSequence.Kind.EVENTS, sequence.begin(200, Optional.empty()));
        assertEquals(EventSequence.Kind.EVENTS, begin(EVENT_STREAM));
        assertEquals(EventSequence.Kind.FOREIGN, begin("text/plain"));
    }

    /** An answer that is no stream may be passed on unchanged while the caller has no part of a stream. */
    @Test
    void answerThatIsNoStreamIsPlainBeforeTheFirstEvent() {
        assertEquals(EventSequence.Kind.PLAIN, begin("text/plain"));
        assertEquals(EventSequence.Kind.PLAIN, sequence.begin(204, Optional.empty()));
        assertEquals(EventSequence.Kind.PLAIN, sequence.begin(500, Optional.of(EVENT_STREAM)));
        EventSequence takenUp = new EventSequence(true, Optional.of("2"));
        assertEquals(EventSequence.Kind.FOREIGN, takenUp.begin(200, Optional.of("text/plain")));
        assertEquals(EventSequence.Kind.FOREIGN, takenUp.begin(204, Optional.empty()));
        assertEquals(EventSequence.Kind.PLAIN, takenUp.begin(404, Optional.of("text/plain")));
        assertEquals(EventSequence.Kind.EVENTS, takenUp.begin(200, Optional.empty()));
    }

    /** Guards against events that a caller has already when it takes a stream up. */
    @Test
    void streamThatIsTakenUpGoesOnAboveTheLastEventOfTheCaller() {
        EventSequence takenUp = new EventSequence(true, Optional.of(" 2"));
        assertEquals(Optional.empty(), takenUp.lastEventIdentity());
        takenUp.begin(200, Optional.of(EVENT_STREAM));
        assertEquals("", append(takenUp, TWO));
        assertTrue(takenUp.fault().isPresent());
        takenUp.begin(200, Optional.of(EVENT_STREAM));
        assertEquals("id: 3\ndata: c\n\n", append(takenUp, "id: 3\ndata: c\n\n"));
    }

    /** An answer of a server: its head, its body, where it is cut and how it is received. */
    record Answer(
            int status, Optional<String> contentType, List<String> parts, int cut, boolean isUnframed, int chunk) {
        private String body() {
            return String.join("", parts);
        }

        private boolean isCut() {
            return cut < body().length();
        }
    }

    @Provide
    Arbitrary<List<Answer>> answers() {
        Arbitrary<String> event =
                Arbitraries.integers().between(0, 12).map(id -> "x-weight-versions: 1\nid: " + id + "\ndata: d\n\n");
        Arbitrary<String> other = Arbitraries.of(
                "ERROR\n\n", "data: x\n\n", ": c\n\n", "\n", "HTTP/1.1 500 Failed\r\nX-A: b\r\n\r\n", "id: 3\n");
        Arbitrary<List<String>> sorted = Arbitraries.integers()
                .between(0, 12)
                .set()
                .ofMaxSize(6)
                .map(ids -> ids.stream()
                        .sorted()
                        .map(id -> "id: " + id + "\r\ndata: d" + id + "\r\n\r\n")
                        .toList());
        Arbitrary<List<String>> mixed = Arbitraries.frequencyOf(Tuple.of(5, event), Tuple.of(1, other))
                .list()
                .ofMaxSize(6);
        Arbitrary<List<String>> parts = Arbitraries.oneOf(sorted, mixed);
        Arbitrary<Optional<String>> contentType =
                Arbitraries.of(Optional.of(EVENT_STREAM), Optional.of("text/plain"), Optional.empty());
        Arbitrary<Answer> answer = Combinators.combine(
                        Arbitraries.of(200, 200, 200, 200, 204, 206, 302, 404, 421, 500, 503),
                        contentType,
                        parts,
                        Arbitraries.integers().between(0, 200),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(1, 60))
                .as(Answer::new);
        return answer.list().ofMinSize(1).ofMaxSize(4);
    }

    /**
     * Guards against every splice: what a caller gets is a series of whole events of streams with increasing
     * identities, and it is complete only if the answer that ended was.
     */
    @Property(tries = 4_000, seed = "5605", edgeCases = EdgeCasesMode.NONE)
    void callersGetIncreasingWholeEventsOfCompleteStreams(
            @ForAll("answers") List<Answer> answers, @ForAll @IntRange(min = -1, max = 4) int takenUpAfter) {
        EventSequence each = new EventSequence(
                takenUpAfter >= 0, takenUpAfter >= 0 ? Optional.of("" + takenUpAfter) : Optional.empty());
        StringBuilder received = new StringBuilder();
        for (Answer answer : answers) {
            EventSequence.Kind kind = each.begin(answer.status(), answer.contentType());
            if (kind != EventSequence.Kind.EVENTS) {
                assertTrue(kind == EventSequence.Kind.FOREIGN || received.isEmpty());
                continue;
            }
            String sent = answer.body()
                    .substring(0, Math.min(answer.cut(), answer.body().length()));
            String passed = appendInChunks(each, sent, answer.chunk());
            assertTrue(sent.startsWith(passed), passed);
            assertTrue(passed.isEmpty() || answer.status() == 200);
            received.append(passed);
            boolean isComplete = each.endFault(answer.isUnframed()).isEmpty();
            if (isComplete) {
                assertTrue(passed.equals(sent) || passed.isEmpty() && received.isEmpty(), sent);
            }
            if (isComplete && !answer.isCut()) {
                break;
            }
        }
        assertIncreasingWholeEvents(received.toString(), takenUpAfter);
    }

    private static void assertIncreasingWholeEvents(String received, int takenUpAfter) {
        assertTrue(received.isEmpty() || received.endsWith("\n"), received);
        long last = takenUpAfter;
        List<Long> identities = new ArrayList<>();
        for (String block : received.replace("\r", "").split("\n\n")) {
            String event = block.strip();
            if (event.isEmpty() || event.startsWith(":")) {
                continue;
            }
            assertTrue(event.matches("(x-weight-versions: 1\n)?id: \\d+\ndata: d\\d*"), received);
            identities.add(Long.parseLong(event.split("id: ")[1].split("\n")[0]));
        }
        for (long identity : identities) {
            assertTrue(identity > last, received);
            last = identity;
        }
    }

    /** Guards against whole streams that are taken for broken ones. */
    @Property(tries = 1_000, seed = "5606")
    void wholeStreamIsPassedOnUnchangedAfterAnyCut(
            @ForAll @IntRange(min = 1, max = 30) int count,
            @ForAll @IntRange(min = 1, max = 4) int step,
            @ForAll @IntRange(min = 0, max = 900) int cut,
            @ForAll @IntRange(min = 1, max = 70) int chunk) {
        List<String> events = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            events.add("id: " + number * step + "\ndata: d" + number + "\n\n");
        }
        String stream = String.join("", events);
        EventSequence each = new EventSequence(false, Optional.empty());
        each.begin(200, Optional.of(EVENT_STREAM));
        String first = appendInChunks(each, stream.substring(0, Math.min(cut, stream.length())), chunk);
        assertTrue(stream.startsWith(first));
        each.begin(200, Optional.of(EVENT_STREAM));
        String rest = String.join("", events.subList(each.eventCount(), count));
        assertEquals(stream, first + appendInChunks(each, rest, chunk));
        assertEquals(rest.isEmpty(), each.endFault(true).isPresent());
    }
}
