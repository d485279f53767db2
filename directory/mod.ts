/**
 * What the platform publishes, as one process sees it: routing rules and workers.
 */
export { exchangeRecords } from './exchange_records.ts'
export { createDirectory } from './create_directory.ts'
export type { Directory, DirectoryOptions } from './create_directory.ts'
export type { ExchangeRecordsOptions, RecordsExchange } from './exchange_records.ts'
