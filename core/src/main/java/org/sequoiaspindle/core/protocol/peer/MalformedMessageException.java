package org.sequoiaspindle.core.protocol.peer;

/** A field that is missing or of the wrong type; caught by the reader, which returns a value. */
final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
