/**
 * Stand-ins for the platform's store and its workers, written from their published protocol, and a site that uses them.
 */
export { AnswerEnd, AnswerFraming, buildBody, buildEvents } from './_described_answer.ts'
export { buildConfiguration, startSite } from './start_site.ts'
export { startStore, StoreMode } from './start_store.ts'
export { SilencePoint, StatedOfBody, startWorker, WorkerMode } from './start_worker.ts'
export type { Site, SiteOptions } from './start_site.ts'
export type { DescribedAnswer } from './_described_answer.ts'
export type { FakeStore, StoreCopy } from './start_store.ts'
export type { FakeWorker, FakeWorkerOptions, ReceivedRequest, Silence } from './start_worker.ts'
