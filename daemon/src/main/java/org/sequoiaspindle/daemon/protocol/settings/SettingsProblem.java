package org.sequoiaspindle.daemon.protocol.settings;

/**
 * Why a settings file cannot be used.
 *
 * @param line line in the file, from 1
 * @param field field with the names of its parents, empty for the whole file
 * @param message what is wrong and what to do
 */
public record SettingsProblem(int line, String field, String message) {

    @Override
    public String toString() {
        return "line " + line + ": " + (field.isEmpty() ? "" : field + ": ") + message;
    }
}
