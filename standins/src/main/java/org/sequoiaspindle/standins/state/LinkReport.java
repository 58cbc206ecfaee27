package org.sequoiaspindle.standins.state;

/** Numbers of open and of silent connections of a link. */
public record LinkReport(int open, int silent) {}
