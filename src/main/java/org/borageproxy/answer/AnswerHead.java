package org.borageproxy.answer;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** What the head of an answer says about its status and framing. Not thread safe. */
final class AnswerHead {

    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( [^\\r\\n]*)?");
    /**
     * The begin of a status line within a line, as where the head of an answer follows part of another one. What
     * follows the version does not matter, since the second answer may be malformed as well.
     */
    private static final Pattern SECOND_STATUS = Pattern.compile("HTTP/1\\.[01]|HTTP/[0-9]\\.[0-9] [0-9]{3}( |$)");

    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    /** Digits of the largest length that is read, within the range of a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final int STATUS_START = VERSION_PREFIX.length() + 2;

    private int status;
    private boolean isOldVersion;
    private boolean isChunked;
    private OptionalLong length = OptionalLong.empty();

    /** Returns whether a byte may stand within a line: visible, a blank or beyond ASCII. */
    static boolean isText(byte value) {
        return value < 0 || value >= ' ' && value != 0x7f || value == '\t';
    }

    /** Returns whether a line that has not ended may be a status line, so that other bytes are refused at once. */
    static boolean mayBeginStatusLine(CharSequence line) {
        int last = line.length() - 1;
        return last >= VERSION_PREFIX.length() || line.charAt(last) == VERSION_PREFIX.charAt(last);
    }

    /** Reads the first line; returns whether it is a status line. */
    boolean readStatusLine(String line) {
        if (!STATUS_LINE.matcher(line).matches() || containsStatus(line.substring(1))) {
            return false;
        }
        isOldVersion = line.charAt(VERSION_PREFIX.length()) == '0';
        status = Integer.parseInt(line.substring(STATUS_START, STATUS_START + 3));
        return true;
    }

    private static boolean containsStatus(String text) {
        return text.contains("HTTP/") && SECOND_STATUS.matcher(text).find();
    }

    /** Returns whether a line is a field: a name and a value, with no blank before the colon. */
    static boolean isField(String line) {
        int colon = line.indexOf(':');
        for (int index = 0; index < colon; index++) {
            if (!isTokenCharacter(line.charAt(index))) {
                return false;
            }
        }
        return colon > 0 && !containsStatus(line.substring(colon + 1));
    }

    private static boolean isTokenCharacter(char character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || TOKEN_SYMBOLS.indexOf(character) >= 0;
    }

    /** Reads a field; returns the reason if it is malformed. */
    Optional<String> readField(String line) {
        if (!isField(line)) {
            return Optional.of("malformed field");
        }
        int colon = line.indexOf(':');
        String value = line.substring(colon + 1).strip();
        return switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> readLength(value);
            case "transfer-encoding" -> readCoding(value);
            default -> Optional.empty();
        };
    }

    private Optional<String> readLength(String value) {
        boolean isNumber = !value.isEmpty()
                && value.length() <= MAX_LENGTH_DIGITS
                && value.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        if (length.isPresent() || !isNumber) {
            return Optional.of("malformed or repeated length");
        }
        length = OptionalLong.of(Long.parseLong(value));
        return Optional.empty();
    }

    private Optional<String> readCoding(String value) {
        if (isChunked || isOldVersion || !value.equalsIgnoreCase("chunked")) {
            return Optional.of("unknown or repeated transfer coding");
        }
        isChunked = true;
        return Optional.empty();
    }

    int status() {
        return status;
    }

    boolean isChunked() {
        return isChunked;
    }

    OptionalLong length() {
        return length;
    }

    /** Returns whether the head states a length together with chunks, so that its body can be read in two ways. */
    boolean isLengthAmbiguous() {
        return isChunked && length.isPresent();
    }
}
