/**
 * What the platform publishes, as one process sees it: routing rules and workers.
 */
export { createDirectory } from './create_directory.ts'
export type { Directory, DirectoryOptions } from './create_directory.ts'
