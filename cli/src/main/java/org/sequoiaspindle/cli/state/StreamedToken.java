package org.sequoiaspindle.cli.state;

/** A token of a streamed answer and its position, counted from 0. */
public record StreamedToken(long position, String text) {}
