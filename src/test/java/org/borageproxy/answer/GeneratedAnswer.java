package org.borageproxy.answer;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * A whole answer of a sound server to the request {@link #IDENTITY}.
 *
 * @param bytes the bytes
 * @param headBytes the number of bytes of the final head and what stands before it
 * @param framing what marks its end
 * @param status the status
 * @param body the body without its framing
 */
record GeneratedAnswer(byte[] bytes, int headBytes, Framing framing, int status, String body) {

    static final String IDENTITY = "id-1";
    private static final int NO_CONTENT = 204;

    enum Framing {
        LENGTH,
        CHUNKS,
        END_OF_CONNECTION,
        NO_BODY
    }

    static Arbitrary<GeneratedAnswer> arbitrary() {
        Arbitrary<Integer> statuses = Arbitraries.of(200, 201, 204, 400, 404, 500, 503);
        Arbitrary<Framing> framings = Arbitraries.of(Framing.LENGTH, Framing.CHUNKS, Framing.END_OF_CONNECTION);
        Arbitrary<String> bodies =
                Arbitraries.strings().withChars("ab \r\n:0123456789HTTP/.").ofMaxLength(60);
        Arbitrary<Integer> chunkSizes = Arbitraries.integers().between(1, 20);
        Arbitrary<String> fields = Arbitraries.of(
                "", "Content-Type: text/plain\r\n", "Server-Limit: 2.5\r\nEmpty:\r\n", "Name:\tvalue \u00e4 \r\n");
        Arbitrary<Integer> interims = Arbitraries.integers().between(0, 2);
        return Combinators.combine(statuses, framings, bodies, chunkSizes, fields, interims)
                .as(GeneratedAnswer::create);
    }

    private static GeneratedAnswer create(
            int status, Framing wantedFraming, String body, int chunkSize, String fields, int interims) {
        Framing framing = status == NO_CONTENT ? Framing.NO_BODY : wantedFraming;
        String head = "HTTP/1.1 100 Continue\r\n\r\n".repeat(interims) + "HTTP/1.1 " + status + " Reason\r\n" + fields
                + "X-Request-Id: " + IDENTITY + "\r\nX-Server-Signature: sig\r\n"
                + switch (framing) {
                    case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n";
                    case CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n";
                    default -> "\r\n";
                };
        String framedBody =
                switch (framing) {
                    case CHUNKS -> chunks(body, chunkSize);
                    case NO_BODY -> "";
                    default -> body;
                };
        byte[] bytes = (head + framedBody).getBytes(StandardCharsets.ISO_8859_1);
        return new GeneratedAnswer(bytes, head.length(), framing, status, framing == Framing.NO_BODY ? "" : body);
    }

    private static String chunks(String body, int chunkSize) {
        StringBuilder chunks = new StringBuilder();
        for (int start = 0; start < body.length(); start += chunkSize) {
            String chunk = body.substring(start, Math.min(body.length(), start + chunkSize));
            chunks.append(Integer.toHexString(chunk.length()))
                    .append(start % 2 == 0 ? "\r\n" : ";name=value\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        return chunks.append("0\r\n\r\n").toString();
    }

    @Override
    public String toString() {
        return framing + " " + new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
