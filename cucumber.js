export default {
  paths: ['!(node_modules|dist)/**/*.feature'],
  import: ['dist/**/*_test.js'],
  tags: 'not @matrix',
  publishQuiet: true
}
