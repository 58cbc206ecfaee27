package org.sequoiaspindle.core.protocol.peer;

/**
 * Thrown for a missing field or a field of the wrong type. The message reader catches it and
 * returns its message as a value.
 */
final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
