package org.borageproxy.rig;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * What a backend server does with one request, by seed.
 *
 * @param framing how the end of the body is marked
 * @param fault what goes wrong
 * @param status the status
 * @param variant selects among the forms of a fault
 * @param cut the share of the answer, or of its copy, that is sent if it is sent in part
 * @param workMillis the time before the answer
 * @param order the order of the fields of the head, a seed
 */
record AnswerPlan(Framing framing, Fault fault, int status, int variant, double cut, long workMillis, long order) {

    static final int OK = 200;
    static final int NOT_EXECUTED = 503;

    /** How the end of a body is marked. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CONNECTION_END
    }

    /** What goes wrong with an answer. */
    enum Fault {
        NONE,
        /** A second copy follows at once. */
        COPY_AT_ONCE,
        /** A second copy follows after a pause. */
        COPY_DELAYED,
        /** A second copy comes where the next answer on the connection is expected. */
        COPY_BEFORE_NEXT,
        /** The first bytes of a second copy follow at once. */
        PART_AT_ONCE,
        /** The first bytes of a second copy come where the next answer on the connection is expected. */
        PART_BEFORE_NEXT,
        /** The answer ends early, with an orderly end of the connection. */
        CUT_BY_END,
        /** The answer ends early, with a reset of the connection. */
        CUT_BY_RESET,
        /** The bytes are no answer. */
        SPOILED,
        /** A success without a signature. */
        UNSIGNED,
        /** A success with an encoding, which nobody asked for. */
        ENCODED,
        /** A resumed stream is answered with an error text in place of events. */
        ERROR_TEXT,
        /** A resumed stream starts again at its first event. */
        RESTARTED_STREAM,
        /** The server is killed within the answer. */
        KILLED,
        /** The server is frozen within the answer, and goes on with it later. */
        FROZEN
    }

    private static final List<Fault> PLAIN_FAULTS = List.of(
            Fault.COPY_AT_ONCE,
            Fault.COPY_DELAYED,
            Fault.COPY_BEFORE_NEXT,
            Fault.COPY_BEFORE_NEXT,
            Fault.PART_AT_ONCE,
            Fault.PART_BEFORE_NEXT,
            Fault.PART_BEFORE_NEXT,
            Fault.PART_BEFORE_NEXT,
            Fault.CUT_BY_END,
            Fault.CUT_BY_RESET,
            Fault.SPOILED,
            Fault.UNSIGNED,
            Fault.ENCODED);
    private static final List<Fault> STREAM_FAULTS = List.of(
            Fault.COPY_AT_ONCE,
            Fault.COPY_BEFORE_NEXT,
            Fault.PART_BEFORE_NEXT,
            Fault.CUT_BY_END,
            Fault.CUT_BY_RESET,
            Fault.CUT_BY_RESET,
            Fault.SPOILED,
            Fault.UNSIGNED);
    private static final List<Fault> RESUMPTION_FAULTS =
            List.of(Fault.ERROR_TEXT, Fault.RESTARTED_STREAM, Fault.CUT_BY_RESET);

    /**
     * Chooses a plan.
     *
     * @param random the source of all choices
     * @param isStream whether events are answered
     * @param isResumed whether the stream is resumed
     * @param isBehindProxy whether a proxy hides resets of the server
     * @param mayBeDisrupted whether the server may be killed or frozen now
     */
    static AnswerPlan choose(
            Random random, boolean isStream, boolean isResumed, boolean isBehindProxy, boolean mayBeDisrupted) {
        int framing = random.nextInt(isStream ? 2 : 3) + (isStream ? 1 : 0);
        int statusChoice = random.nextInt(100);
        int status = OK;
        if (statusChoice < (isStream ? 3 : 12)) {
            status = 500;
        } else if (statusChoice < (isStream ? 4 : 16)) {
            status = 404;
        } else if (statusChoice < (isStream ? 6 : 20)) {
            status = NOT_EXECUTED;
        }
        Fault fault = Fault.NONE;
        int faultChoice = random.nextInt(100);
        List<Fault> faults = isStream ? isResumed ? RESUMPTION_FAULTS : STREAM_FAULTS : PLAIN_FAULTS;
        if (faultChoice < 6) {
            fault = faultChoice < 4 ? Fault.KILLED : Fault.FROZEN;
        } else if (faultChoice < 30) {
            fault = faults.get(random.nextInt(faults.size()));
        }
        if ((fault == Fault.KILLED || fault == Fault.FROZEN) && !mayBeDisrupted) {
            fault = Fault.NONE;
        }
        AnswerPlan plan = new AnswerPlan(
                Framing.values()[framing],
                fault,
                status,
                random.nextInt(6),
                random.nextDouble(),
                2 + random.nextInt(20),
                random.nextLong());
        return plan.isTellable(isBehindProxy) ? plan : plan.withoutFault();
    }

    /**
     * Returns whether a proxy can tell that the answer is not whole. Bytes after an answer without a length belong to
     * its body, and a server that runs on and ends it early in order, or whose reset is hidden, has ended it.
     */
    private boolean isTellable(boolean isBehindProxy) {
        if ((fault == Fault.UNSIGNED || fault == Fault.ENCODED) && status != OK) {
            return false;
        }
        if (framing != Framing.CONNECTION_END) {
            return true;
        }
        return switch (fault) {
            case CUT_BY_END, COPY_AT_ONCE, COPY_DELAYED, COPY_BEFORE_NEXT, PART_AT_ONCE, PART_BEFORE_NEXT -> false;
            case CUT_BY_RESET -> !isBehindProxy;
            default -> true;
        };
    }

    private AnswerPlan withoutFault() {
        return new AnswerPlan(framing, Fault.NONE, status, variant, cut, workMillis, order);
    }

    boolean isSuccess() {
        return status == OK;
    }

    /** Returns the status that counts for the answer; 0 if the bytes are no answer. */
    int recordedStatus() {
        return switch (fault) {
            case SPOILED, ENCODED, ERROR_TEXT -> 0;
            default -> status;
        };
    }

    /** Returns the head of the answer. */
    String head(String requestId, String signature, String contentType, int length) {
        List<String> lines = new ArrayList<>();
        lines.add("X-Request-Id: " + requestId);
        if (fault != Fault.UNSIGNED) {
            lines.add("X-Server-Signature: " + signature);
        }
        lines.add("Content-Type: " + contentType);
        lines.add("Date: Sat, 05 Dec 2026 16:40:00 GMT");
        switch (framing) {
            case LENGTH -> lines.add("Content-Length: " + length);
            case CHUNKS -> lines.add("Transfer-Encoding: chunked");
            default -> lines.add("Connection: close");
        }
        if (status == NOT_EXECUTED) {
            lines.add("X-Not-Executed: 1");
        }
        if (fault == Fault.ENCODED) {
            lines.add("Content-Encoding: gzip");
        }
        Collections.shuffle(lines, new Random(order));
        String statusLine = "HTTP/1.1 " + status + (status == OK ? " OK" : " Failed");
        if (fault == Fault.SPOILED) {
            switch (variant) {
                case 0 -> statusLine = "HTTP/1.1 0" + status + " OK";
                case 1 -> statusLine = "HTTP/1.1 +" + status + " OK";
                case 2 -> statusLine = "\u0001\u0002" + statusLine;
                case 3 -> lines.add(1, "a line that is no field");
                default -> {
                    return "these bytes are no answer " + order;
                }
            }
        }
        return statusLine + "\r\n" + String.join("\r\n", lines) + "\r\n\r\n";
    }

    /** Returns a part of a body with its framing. */
    byte[] frame(String part) {
        String text = framing == Framing.CHUNKS ? Integer.toHexString(part.length()) + "\r\n" + part + "\r\n" : part;
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns what ends a whole body. */
    byte[] end() {
        return (framing == Framing.CHUNKS ? "0\r\n\r\n" : "").getBytes(StandardCharsets.ISO_8859_1);
    }
}
