/**
 * The byte order mark of UTF-8, with which an event stream may begin.
 */
export const byteOrderMark: Buffer = Buffer.from('\ufeff')
